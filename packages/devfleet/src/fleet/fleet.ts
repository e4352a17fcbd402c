import { rmSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { join } from 'node:path';
import got from 'got';
import type { Deployment, OriginGroup } from '../deployment/schema.js';
import { FleetProcess, freePort } from './fleet-process.js';

const programScript = (name: string): string =>
  fileURLToPath(new URL(`../../../${name}/bin/${name}.js`, import.meta.url));
const stubOriginScript = fileURLToPath(new URL('../../bin/stub-origin.js', import.meta.url));

/** A machine of the fleet: its number and the processes on it. */
export interface Machine {
  readonly name: string;
  readonly kind: 'edge' | 'shield' | 'store';
  readonly zone: string;
  readonly host: string;
  readonly processes: readonly FleetProcess[];
  readonly httpAddress: string;
  readonly adminAddress: string;
}

export interface StubOrigin {
  readonly group: OriginGroup;
  readonly name: string;
  readonly address: string;
  readonly controlAddress: string;
  readonly process: FleetProcess;
}

const loopbackHost = (row: number, column: number): string => `127.${20 + row}.${column}.1`;

/** Runs work on a list, a few at a time. */
export const forEachConcurrently = async <T>(
  items: readonly T[],
  concurrency: number,
  work: (one: T) => Promise<void>,
): Promise<void> => {
  const rest = [...items];
  await Promise.all(
    Array.from({ length: concurrency }, async () => {
      for (let one = rest.shift(); one !== undefined; one = rest.shift()) await work(one);
    }),
  );
};

export const delay = (ms: number): Promise<void> =>
  new Promise((done) => {
    setTimeout(done, ms);
  });

/** Waits for something to become true, in small steps; says whether it did. */
export const waitUntil = async (
  timeoutMs: number,
  condition: () => Promise<boolean>,
): Promise<boolean> => {
  const end = performance.now() + timeoutMs;
  while (performance.now() < end) {
    if (await condition().catch(() => false)) return true;
    await delay(25);
  }
  return false;
};

/** A whole fleet on one machine: its processes, their places, and its stand-in origins. */
export class Fleet {
  readonly machines: Machine[] = [];
  readonly origins: StubOrigin[] = [];
  readonly #stalledPeers = new Map<Machine, Set<string>>();
  readonly #unreachablePeers = new Map<Machine, Set<string>>();
  readonly #deployment: Deployment;
  readonly #folder: string;
  readonly #canInjectFaults: boolean;
  #originCount = 0;

  /** With `faulty` the network and disks of its processes can be made to fail. */
  constructor(deployment: Deployment, folder: string, faulty = false) {
    this.#canInjectFaults = faulty;
    this.#deployment = deployment;
    this.#folder = folder;
  }

  get registries(): readonly string[] {
    return this.machines.filter((one) => one.kind !== 'edge').map((one) => one.httpAddress);
  }

  get edges(): readonly Machine[] {
    return this.machines.filter((one) => one.kind === 'edge');
  }

  machine(name: string): Machine {
    const found = this.machines.find((one) => one.name === name);
    if (found === undefined) throw new Error(`no machine ${name}`);
    return found;
  }

  process(name: string): FleetProcess {
    const found = [
      ...this.machines.flatMap((one) => one.processes),
      ...this.origins.map((one) => one.process),
    ].find((one) => one.name === name);
    if (found === undefined) throw new Error(`no process ${name}`);
    return found;
  }

  /** Lays all places out and starts every process. */
  async start(): Promise<void> {
    rmSync(this.#folder, { recursive: true, force: true });
    await this.#createMachines();
    await forEachConcurrently(
      this.machines.flatMap((one) => one.processes),
      8,
      (one) => one.start(),
    );
    for (const group of this.#deployment.origins)
      await forEachConcurrently(
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
    reusedAddress?: string,
  ): Promise<StubOrigin> {
    this.#originCount += 1;
    const host = reusedAddress?.split(':')[0] ?? loopbackHost(100, this.#originCount);
    const [port, control] = [
      reusedAddress === undefined ? await freePort(host) : Number(reusedAddress.split(':')[1]),
      await freePort(host),
    ];
    const child = new FleetProcess(
      name,
      stubOriginScript,
      [
        '--service',
        group.service,
        '--instance',
        `${name}.${this.#originCount}`,
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
    const spot: StubOrigin = {
      group,
      name,
      address: `${host}:${port}`,
      controlAddress: `${host}:${control}`,
      process: child,
    };
    this.origins.push(spot);
    await child.start();
    return spot;
  }

  async #createMachines(): Promise<void> {
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
        const host = loopbackHost(row, at + 1);
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
      const own = this.#canInjectFaults ? spot.host : undefined;
      const children: FleetProcess[] = [];
      if (spot.kind !== 'edge') {
        children.push(
          new FleetProcess(
            `${spot.name}-registry`,
            programScript('registry'),
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
          new FleetProcess(
            spot.name,
            programScript('store'),
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
          new FleetProcess(
            spot.name,
            programScript('proxy'),
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
        zone: spot.area,
        host: spot.host,
        processes: children,
        httpAddress: spot.kind === 'edge' ? String(front) : String(door),
        adminAddress: String(admin),
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

  readView(path: string): Promise<unknown> {
    return this.#ask(path);
  }

  /** Whether an edge says it takes callers. */
  async isReady(machine: Machine): Promise<boolean> {
    const reply = await got(`http://${machine.adminAddress}/ready`, {
      retry: { limit: 0 },
      throwHttpErrors: false,
      timeout: { request: 1000 },
    });
    return reply.statusCode === 200;
  }

  /** Cuts ways between machines: what the first send to the second no longer arrives. */
  cutLinks(from: readonly Machine[], to: readonly Machine[]): void {
    const add = (list: Map<Machine, Set<string>>, one: Machine, host: string): void => {
      list.set(one, (list.get(one) ?? new Set()).add(host));
    };
    for (const one of from) {
      for (const other of to) {
        if (one === other) continue;
        add(this.#stalledPeers, one, other.host);
        // A channel comes up only where both ways are open.
        add(this.#unreachablePeers, one, other.host);
        add(this.#unreachablePeers, other, one.host);
      }
    }
    this.#sendLinkFaults();
  }

  /** Opens all ways again. */
  healLinks(): void {
    this.#stalledPeers.clear();
    this.#unreachablePeers.clear();
    this.#sendLinkFaults();
  }

  /** Makes all that machines send take longer. */
  setLag(lagMs: number): void {
    for (const one of this.machines)
      for (const child of one.processes) child.setFaults({ lagMs: lagMs });
  }

  #sendLinkFaults(): void {
    for (const one of this.machines)
      for (const child of one.processes)
        child.setFaults({
          hold: [...(this.#stalledPeers.get(one) ?? [])],
          bar: [...(this.#unreachablePeers.get(one) ?? [])],
        });
  }

  /** The folder that a store keeps its data in. */
  dataFolder(name: string): string {
    return join(this.#folder, 'data', name);
  }

  /** Waits until every edge takes callers. */
  async waitUntilEdgesReady(timeoutMs: number): Promise<boolean> {
    const states = await Promise.all(
      this.edges.map((one) => waitUntil(timeoutMs, () => this.isReady(one))),
    );
    return states.every((one) => one);
  }

  async stop(): Promise<void> {
    const all = [
      ...this.machines.flatMap((one) => one.processes),
      ...this.origins.map((one) => one.process),
    ];
    await Promise.all(
      all.map((one) => {
        one.signal('SIGCONT');
        return one.stop('SIGKILL');
      }),
    );
  }
}
