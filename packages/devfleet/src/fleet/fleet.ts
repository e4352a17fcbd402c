import { rmSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { join } from 'node:path';
import got from 'got';
import type { Deployment, OriginGroup } from '../deployment/schema.js';
import { Child, freePort } from './child.js';

const bin = (name: string): string =>
  fileURLToPath(new URL(`../../../${name}/bin/${name}.js`, import.meta.url));
const standin = fileURLToPath(new URL('../../bin/standin.js', import.meta.url));

/** A machine of the fleet: its number and the processes on it. */
export interface Machine {
  readonly name: string;
  readonly kind: 'edge' | 'shield' | 'store';
  readonly area: string;
  readonly host: string;
  readonly children: readonly Child[];
  readonly door: string;
  readonly admin: string;
}

export interface OriginSpot {
  readonly group: OriginGroup;
  readonly name: string;
  readonly address: string;
  readonly control: string;
  readonly child: Child;
}

const hostOf = (row: number, column: number): string => `127.${20 + row}.${column}.1`;

/** Runs work on a list, a few at a time. */
export const inTurns = async <T>(
  list: readonly T[],
  wide: number,
  work: (one: T) => Promise<void>,
): Promise<void> => {
  const rest = [...list];
  await Promise.all(
    Array.from({ length: wide }, async () => {
      for (let one = rest.shift(); one !== undefined; one = rest.shift()) await work(one);
    }),
  );
};

export const pause = (ms: number): Promise<void> =>
  new Promise((done) => {
    setTimeout(done, ms);
  });

/** Waits for something to become true, in small steps; says whether it did. */
export const until = async (span: number, test: () => Promise<boolean>): Promise<boolean> => {
  const end = performance.now() + span;
  while (performance.now() < end) {
    if (await test().catch(() => false)) return true;
    await pause(25);
  }
  return false;
};

/** A whole fleet on one machine: its processes, their places, and its stand-in origins. */
export class Fleet {
  readonly machines: Machine[] = [];
  readonly origins: OriginSpot[] = [];
  readonly #holds = new Map<Machine, Set<string>>();
  readonly #bars = new Map<Machine, Set<string>>();
  readonly #deployment: Deployment;
  readonly #folder: string;
  readonly #faulty: boolean;
  #releases = 0;

  /** With `faulty` the network and disks of its processes can be made to fail. */
  constructor(deployment: Deployment, folder: string, faulty = false) {
    this.#faulty = faulty;
    this.#deployment = deployment;
    this.#folder = folder;
  }

  get registries(): readonly string[] {
    return this.machines.filter((one) => one.kind !== 'edge').map((one) => one.door);
  }

  get edges(): readonly Machine[] {
    return this.machines.filter((one) => one.kind === 'edge');
  }

  machine(name: string): Machine {
    const found = this.machines.find((one) => one.name === name);
    if (found === undefined) throw new Error(`no machine ${name}`);
    return found;
  }

  child(name: string): Child {
    const found = [
      ...this.machines.flatMap((one) => one.children),
      ...this.origins.map((one) => one.child),
    ].find((one) => one.name === name);
    if (found === undefined) throw new Error(`no process ${name}`);
    return found;
  }

  /** Lays all places out and starts every process. */
  async start(): Promise<void> {
    rmSync(this.#folder, { recursive: true, force: true });
    await this.#lay();
    await inTurns(
      this.machines.flatMap((one) => one.children),
      8,
      (one) => one.start(),
    );
    for (const group of this.#deployment.origins)
      await inTurns(
        Array.from({ length: group.count }, (_, at) => at),
        4,
        (at) =>
          this.addOrigin(group, `${group.service}-${at + 1}`, group.release).then(() => undefined),
      );
  }

  async addOrigin(
    group: OriginGroup,
    name: string,
    release: string,
    taken?: string,
  ): Promise<OriginSpot> {
    this.#releases += 1;
    const host = taken?.split(':')[0] ?? hostOf(100, this.#releases);
    const [port, control] = [
      taken === undefined ? await freePort(host) : Number(taken.split(':')[1]),
      await freePort(host),
    ];
    const child = new Child(
      name,
      standin,
      [
        '--service',
        group.service,
        '--instance',
        `${name}.${this.#releases}`,
        '--listen',
        `${host}:${port}`,
        '--control',
        `${host}:${control}`,
        '--slots',
        String(group.slots),
        '--least',
        String(group.workMs[0]),
        '--usual',
        String(group.workMs[1]),
        '--release',
        release,
        '--registries',
        this.registries.join(','),
      ],
      join(this.#folder, 'log'),
    );
    const spot: OriginSpot = {
      group,
      name,
      address: `${host}:${port}`,
      control: `${host}:${control}`,
      child,
    };
    this.origins.push(spot);
    await child.start();
    return spot;
  }

  async #lay(): Promise<void> {
    const { areas, edges, shields, stores } = this.#deployment;
    const area = (at: number): string => areas[at % areas.length] ?? 'here';
    const spots: {
      readonly kind: Machine['kind'];
      readonly name: string;
      readonly area: string;
      readonly host: string;
      readonly ports: readonly number[];
    }[] = [];
    for (const [row, [kind, many]] of [
      ['shield', shields],
      ['store', stores],
      ['edge', edges],
    ].entries()) {
      for (let at = 0; at < Number(many); at += 1) {
        const host = hostOf(row, at + 1);
        const ports = await Promise.all(Array.from({ length: 6 }, () => freePort(host)));
        spots.push({
          kind: kind === 'shield' ? 'shield' : kind === 'store' ? 'store' : 'edge',
          name: `${String(kind)}-${at + 1}`,
          area: area(kind === 'store' ? at + 1 : at),
          host,
          ports,
        });
      }
    }
    const core = spots.filter((one) => one.kind !== 'edge');
    const seeds = core.slice(0, 3).map((one) => `${one.host}:${one.ports[0] ?? 0}`);
    for (const spot of spots) {
      const [registry, door, main, admin, front] = spot.ports.map((port) => `${spot.host}:${port}`);
      const logs = join(this.#folder, 'log');
      const common = ['--area', spot.area, ...seeds.flatMap((one) => ['--seeds', one])];
      const own = this.#faulty ? spot.host : undefined;
      const children: Child[] = [];
      if (spot.kind !== 'edge') {
        children.push(
          new Child(
            `${spot.name}-registry`,
            bin('registry'),
            [
              '--node',
              `${spot.name}-registry`,
              '--listen',
              String(registry),
              '--door',
              String(door),
              ...common,
            ],
            logs,
            own,
          ),
        );
      }
      if (spot.kind === 'store') {
        children.push(
          new Child(
            spot.name,
            bin('store'),
            [
              '--node',
              spot.name,
              '--listen',
              String(main),
              '--admin',
              String(admin),
              '--data',
              join(this.#folder, 'data', spot.name),
              ...common,
            ],
            logs,
            own,
          ),
        );
      } else {
        children.push(
          new Child(
            spot.name,
            bin('proxy'),
            [
              '--node',
              spot.name,
              '--role',
              spot.kind,
              '--listen',
              String(main),
              '--door',
              String(front),
              '--admin',
              String(admin),
              ...common,
            ],
            logs,
            own,
          ),
        );
      }
      this.machines.push({
        name: spot.name,
        kind: spot.kind,
        area: spot.area,
        host: spot.host,
        children,
        door: spot.kind === 'edge' ? String(front) : String(door),
        admin: String(admin),
      });
    }
  }

  async #ask(path: string): Promise<unknown> {
    for (const address of this.registries) {
      const reply = await got(`http://${address}${path}`, {
        retry: { limit: 0 },
        throwHttpErrors: false,
        timeout: { request: 2000 },
      }).catch(() => undefined);
      if (reply?.statusCode === 200) return JSON.parse(reply.body);
    }
    return undefined;
  }

  view(path: string): Promise<unknown> {
    return this.#ask(path);
  }

  /** Whether an edge says it takes callers. */
  async ready(machine: Machine): Promise<boolean> {
    const reply = await got(`http://${machine.admin}/ready`, {
      retry: { limit: 0 },
      throwHttpErrors: false,
      timeout: { request: 1000 },
    });
    return reply.statusCode === 200;
  }

  /** Cuts ways between machines: what the first send to the second no longer arrives. */
  cut(from: readonly Machine[], to: readonly Machine[]): void {
    const add = (list: Map<Machine, Set<string>>, one: Machine, host: string): void => {
      list.set(one, (list.get(one) ?? new Set()).add(host));
    };
    for (const one of from) {
      for (const other of to) {
        if (one === other) continue;
        add(this.#holds, one, other.host);
        // A channel comes up only where both ways are open.
        add(this.#bars, one, other.host);
        add(this.#bars, other, one.host);
      }
    }
    this.#spread();
  }

  /** Opens all ways again. */
  heal(): void {
    this.#holds.clear();
    this.#bars.clear();
    this.#spread();
  }

  /** Makes all that machines send take longer. */
  lag(ms: number): void {
    for (const one of this.machines) for (const child of one.children) child.set({ lagMs: ms });
  }

  #spread(): void {
    for (const one of this.machines)
      for (const child of one.children)
        child.set({
          hold: [...(this.#holds.get(one) ?? [])],
          bar: [...(this.#bars.get(one) ?? [])],
        });
  }

  /** The folder that a store keeps its data in. */
  dataOf(name: string): string {
    return join(this.#folder, 'data', name);
  }

  /** Waits until every edge takes callers. */
  async allReady(span: number): Promise<boolean> {
    const states = await Promise.all(this.edges.map((one) => until(span, () => this.ready(one))));
    return states.every((one) => one);
  }

  async stop(): Promise<void> {
    const all = [
      ...this.machines.flatMap((one) => one.children),
      ...this.origins.map((one) => one.child),
    ];
    await Promise.all(
      all.map((one) => {
        one.signal('SIGCONT');
        return one.end('SIGKILL');
      }),
    );
  }
}
