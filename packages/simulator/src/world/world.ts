import {
  type Address,
  type CommandId,
  type ServiceName,
  type Hash,
  toAddress,
  toInstanceId,
  toNodeId,
  toRelease,
} from '@switchwheel/types';
import { splitIntoChunks, runToCompletion } from '@switchwheel/configuration';
import { Agenda } from './agenda.js';
import type { Actor, Stage } from './actor.js';
import { Chance } from './chance.js';
import { Net } from './net.js';
import { SimOrigin } from '../cast/origin.js';
import { SimProxy } from '../cast/proxy.js';
import { SimRegistry, type Told } from '../cast/registry.js';
import { SimStore } from '../cast/store.js';
import { type ConfigurationWrite, History, type PurgeWrite } from '../history/history.js';
import { endingOf } from '../history/operators.js';
import { Tried } from '../rules/tried.js';
import { type Shape, describe } from './describe.js';
import { toCommandId, toFleetId, toGeneration } from '@switchwheel/types';
import type { PurgeTarget } from '@switchwheel/transport';
import type { ReplicationSettings } from '@switchwheel/replicated-store';

/** How large a simulated fleet is, and what stands behind it. */
export interface Layout {
  readonly seed: number;
  readonly edges: number;
  readonly shields: number;
  /** How many machines have a disk; two if it isn't said. */
  readonly stores?: number;
  readonly limits?: ReplicationSettings;
  /** Whether nodes that run nothing may start on what disks hold. */
  readonly eager?: boolean;
  /** The areas of the machines with a disk, in their order; they go round by four if it isn't said. */
  readonly storeAreas?: readonly string[];
  readonly services: readonly {
    readonly name: ServiceName;
    readonly origins: number;
    readonly slots: number;
    readonly perSecond: number | undefined;
    readonly hedgeMs?: number;
  }[];
}

/** One write of an operator, with all that became of it. */
export interface Write {
  readonly id: CommandId;
  readonly kind: 'apply' | 'purge';
  readonly sentAt: number;
  readonly mark: number;
  /** Whether its description is one that may not be taken. */
  readonly invalid: boolean;
  told:
    | {
        readonly at: number;
        readonly status: number;
        readonly generation: number;
        readonly purge: number;
        readonly hash: string;
      }
    | undefined;
  readonly paths: readonly string[];
  /** For a purge: the revisions that the objects had when it was sent. */
  readonly revisions: ReadonlyMap<string, number>;
}

const parseNumber = (body: string, name: string): number =>
  Number(new RegExp(`"${name}":(\\d+)`).exec(body)?.[1] ?? 0);

/** A whole simulated fleet. */
export class World implements Stage {
  readonly agenda = new Agenda();
  readonly chance: Chance;
  readonly net: Net;
  readonly actors = new Map<Address, Actor>();
  readonly logs: string[] = [];
  readonly registries: SimRegistry[] = [];
  readonly stores: SimStore[] = [];
  readonly proxies: SimProxy[] = [];
  readonly origins: SimOrigin[] = [];
  readonly writes: Write[] = [];
  readonly tried = new Tried();
  /** What operators asked, and what they were told. */
  readonly history = new History(() => this.agenda.now);
  readonly breaches: string[] = [];
  readonly layout: Layout;
  readonly #revisions = new Map<string, { readonly revision: number; readonly since: number }[]>();
  #origin = 0;
  #write = 0;
  after: (actor: Actor) => void = () => undefined;
  /** Whether a node is out of reach of the fleet. */
  isOut: (proxy: SimProxy) => boolean = () => false;

  constructor(layout: Layout) {
    this.layout = layout;
    this.chance = new Chance(layout.seed);
    this.net = new Net(this.agenda, this.chance.part());
    const seeds = (): readonly Address[] => this.registries.slice(0, 3).map((one) => one.address);
    const areas = ['one', 'two', 'three', 'four'];
    const area = (at: number): string => areas[at % areas.length] ?? 'one';
    const stores = layout.stores ?? 2;
    for (let at = 0; at < layout.shields + stores; at += 1) {
      const name =
        at < layout.shields
          ? `shield-${at + 1}-registry`
          : `store-${at - layout.shields + 1}-registry`;
      this.registries.push(
        new SimRegistry(
          this,
          toNodeId(name),
          toAddress(`10.0.0.${at + 1}:1`),
          layout.storeAreas?.[at - layout.shields] ?? area(at),
          seeds,
          layout.eager,
        ),
      );
    }
    for (let at = 0; at < stores; at += 1)
      this.stores.push(
        new SimStore(
          this,
          toNodeId(`store-${at + 1}`),
          toAddress(`10.0.1.${at + 1}:1`),
          layout.storeAreas?.[at] ?? area(at + 1),
          seeds,
          layout.limits,
        ),
      );
    for (let at = 0; at < layout.shields; at += 1)
      this.proxies.push(
        new SimProxy(
          this,
          'shield',
          toNodeId(`shield-${at + 1}`),
          toAddress(`10.0.2.${at + 1}:1`),
          area(at),
          seeds,
          () => this.origins,
        ),
      );
    for (let at = 0; at < layout.edges; at += 1)
      this.proxies.push(
        new SimProxy(
          this,
          'edge',
          toNodeId(`edge-${at + 1}`),
          toAddress(`10.0.3.${at + 1}:1`),
          area(at),
          seeds,
          () => this.origins,
        ),
      );
  }

  /** A new core machine's registry, found by the seeds that are there now. */
  addRegistry(name: string, at: number, area = 'one'): SimRegistry {
    const seeds = this.registries.slice(0, 3).map((one) => one.address);
    const registry = new SimRegistry(
      this,
      toNodeId(name),
      toAddress(`10.0.9.${at}:1`),
      area,
      () => seeds,
    );
    this.registries.push(registry);
    registry.start();
    return registry;
  }

  /** A new edge with an empty memory, which is told of some registries. */
  addEdge(name: string, at: number, seeds: readonly Address[]): SimProxy {
    const edge = new SimProxy(
      this,
      'edge',
      toNodeId(name),
      toAddress(`10.0.7.${at}:1`),
      'one',
      () => seeds,
      () => this.origins,
    );
    this.proxies.push(edge);
    edge.start();
    return edge;
  }

  /** A new machine with a blank disk. */
  addStore(name: string, at: number, area = 'one'): SimStore {
    const seeds = this.registries.slice(0, 3).map((one) => one.address);
    const store = new SimStore(
      this,
      toNodeId(name),
      toAddress(`10.0.8.${at}:1`),
      area,
      () => seeds,
      this.layout.limits,
    );
    this.stores.push(store);
    store.start();
    return store;
  }

  /** A store is gone for good, with its disk. */
  dropStore(store: SimStore): void {
    store.kill();
    this.stores.splice(this.stores.indexOf(store), 1);
    this.actors.delete(store.address);
  }

  /** A registry is gone for good: nothing names it any more. */
  dropRegistry(registry: SimRegistry): void {
    registry.kill();
    this.registries.splice(this.registries.indexOf(registry), 1);
    this.actors.delete(registry.address);
  }

  get all(): readonly Actor[] {
    return [...this.registries, ...this.stores, ...this.proxies];
  }

  get edges(): readonly SimProxy[] {
    return this.proxies.filter((one) => one.role === 'edge');
  }

  get shields(): readonly SimProxy[] {
    return this.proxies.filter((one) => one.role === 'shield');
  }

  find(name: string): Actor {
    const found = this.all.find((one) => one.node === name);
    if (found === undefined) throw new Error(`no actor ${name}`);
    return found;
  }

  run(span: number): void {
    const end = this.agenda.now + span;
    while (this.agenda.step(end));
  }

  /** Runs until something is so, or time is over; says whether it was. */
  until(span: number, test: () => boolean): boolean {
    const end = this.agenda.now + span;
    while (!test()) if (!this.agenda.step(end)) return test();
    return true;
  }

  addOrigin(service: ServiceName, slots: number, release = 'r1', address?: Address): SimOrigin {
    this.#origin += 1;
    const spot =
      address ?? toAddress(`10.1.${Math.floor(this.#origin / 200)}.${(this.#origin % 200) + 1}:80`);
    const origin = new SimOrigin(
      this,
      service,
      toInstanceId(`${service}.${this.#origin}`),
      spot,
      toRelease(release),
      slots,
      () => this.registries,
      (path) => this.revisionOf(path),
    );
    this.origins.push(origin);
    return origin;
  }

  /** Starts every process and origin, founds the fleet and applies a first description. */
  form(): void {
    for (const actor of this.all)
      this.agenda.after(this.chance.between(0, 100), () => actor.start());
    for (const service of this.layout.services)
      for (let at = 0; at < service.origins; at += 1) this.addOrigin(service.name, service.slots);
    const met = this.until(5000, () =>
      this.registries.every(
        (one) =>
          one.state !== undefined &&
          [...one.state.sessions.values()].filter((row) => row.member.role === 'registry')
            .length ===
            this.registries.length - 1 &&
          [...one.state.sessions.values()].filter((row) => row.member.role === 'store').length ===
            this.stores.length,
      ),
    );
    if (!met) throw new Error('the core did not find itself');
    let founded = false;
    const found = (): void => {
      this.registries[0]?.call(
        {
          verb: 'bootstrap',
          id: toCommandId('found'),
          fleet: toFleetId('sim'),
          stores: this.stores.map((one) => one.node),
          voters: this.registries.map((one) => one.node),
        },
        (told) => {
          founded = told.status === 200;
          if (!founded) this.agenda.after(100, found);
        },
      );
    };
    found();
    if (!this.until(5000, () => founded)) throw new Error('the fleet was not founded');
    if (!this.until(5000, () => this.primary() !== undefined)) throw new Error('no primary');
    this.apply(1);
    const up = (): boolean =>
      this.proxies.every((one) => one.ready) &&
      this.layout.services.every((one) => this.keeperOf(one.name) !== undefined);
    if (!this.until(8000, up))
      throw new Error(
        `not in force: ${this.proxies
          .filter((one) => !one.ready)
          .map((one) => one.node)
          .join(', ')} ${JSON.stringify(this.writes.map((one) => one.told))}`,
      );
  }

  primary(): SimStore | undefined {
    return this.stores.find(
      (one) =>
        one.state?.isServing === true &&
        one.state.candidate.phase.phase === 'holdingLease' &&
        one.clock < one.state.candidate.phase.leaseEndsAt,
    );
  }

  keeperOf(service: ServiceName): SimProxy | undefined {
    return this.shields.find((one) => one.state?.activeLeaders.has(service));
  }

  revisionOf(path: string): number {
    return this.#revisions.get(path)?.at(-1)?.revision ?? 0;
  }

  bump(path: string): void {
    const list = this.#revisions.get(path) ?? [];
    list.push({ revision: this.revisionOf(path) + 1, since: this.agenda.now });
    this.#revisions.set(path, list);
  }

  /** When a revision of an object stopped being the newest; undefined while it is. */
  supersededAt(path: string, revision: number): number | undefined {
    return this.#revisions.get(path)?.find((one) => one.revision > revision)?.since;
  }

  #someRegistry(): SimRegistry | undefined {
    return this.chance.one(this.registries.filter((one) => one.alive && !one.frozen));
  }

  #send(write: Write, call: (registry: SimRegistry, done: (told: Told) => void) => void): void {
    const registry = this.#someRegistry();
    if (registry === undefined) return;
    call(registry, (told) => {
      if (
        told.status === 200 &&
        write.paths.some((path) => this.origins.some((one) => one.worksOn(path)))
      )
        this.tried.note('R7: a purge raced a fetch');
      write.told ??= {
        at: this.agenda.now,
        status: told.status,
        generation: parseNumber(told.body, 'generation'),
        purge: parseNumber(told.body, 'purge'),
        hash: /"hash":"([0-9a-f]+)"/.exec(told.body)?.[1] ?? '',
      };
    });
  }

  /** The highest generation that any operator was told. */
  generation(): number {
    return Math.max(
      0,
      ...this.writes.map((one) => (one.told?.status === 200 ? one.told.generation : 0)),
    );
  }

  /** An operator hands a description over; `mark` makes it one of its own. */
  apply(mark: number, base?: number, shape: Shape = 'plain', again?: Write): Write {
    this.#write += 1;
    const write: Write = {
      id: again?.id ?? toCommandId(`w${this.#write}`),
      kind: 'apply',
      sentAt: this.agenda.now,
      mark,
      invalid: shape === 'invalid',
      told: undefined,
      paths: [],
      revisions: new Map(),
    };
    this.writes.push(write);
    const bundle = runToCompletion(splitIntoChunks(describe(this.layout, mark, shape)));
    if (bundle.isErr) throw new Error(JSON.stringify(bundle.error));
    const order: readonly Hash[] = bundle.value.chunkHashes;
    this.#send(write, (registry, done) => {
      const { hash } = bundle.value;
      const open = this.history.begin<ConfigurationWrite>({
        kind: 'write',
        numbered: false,
        version: { number: undefined, hash },
        ending: 'unknown',
        startedAt: this.agenda.now,
        endedAt: undefined,
      });
      registry.call(
        {
          verb: 'apply',
          id: write.id,
          baseGeneration: base === undefined ? undefined : toGeneration(base),
          hash: bundle.value.hash,
          chunkHashes: order,
          chunks: bundle.value.chunks,
        },
        (told) => {
          const number = told.status === 200 ? parseNumber(told.body, 'generation') : undefined;
          open.end({ ending: endingOf(told.status), version: { number, hash } });
          done(told);
        },
      );
    });
    return write;
  }

  /** An operator changes objects at the origins and purges them. */
  purge(paths: readonly string[], aims: readonly PurgeTarget[]): Write {
    this.#write += 1;
    for (const path of paths) this.bump(path);
    const write: Write = {
      id: toCommandId(`w${this.#write}`),
      kind: 'purge',
      sentAt: this.agenda.now,
      mark: 0,
      invalid: false,
      told: undefined,
      paths,
      revisions: new Map(paths.map((path) => [path, this.revisionOf(path)])),
    };
    this.writes.push(write);
    this.#send(write, (registry, done) => {
      const open = this.history.begin<PurgeWrite>({
        kind: 'purge',
        number: undefined,
        ending: 'unknown',
        startedAt: this.agenda.now,
        endedAt: undefined,
      });
      registry.call({ verb: 'purge', id: write.id, aims }, (told) => {
        const number = told.status === 200 ? parseNumber(told.body, 'purge') : undefined;
        open.end({ ending: endingOf(told.status), number });
        done(told);
      });
    });
    return write;
  }
}
