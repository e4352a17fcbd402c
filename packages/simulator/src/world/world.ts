/** A whole simulated fleet: its processes, origins and objects, and operators' commands to it. */

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
import { EventQueue } from './event-queue.js';
import type { FrameObserver, SimulatedProcess, SimulationContext } from './process.js';
import { SeededRandom } from './seeded-random.js';
import { Network } from './network.js';
import { SimulatedOrigin } from '../processes/origin.js';
import { SimulatedProxy } from '../processes/proxy.js';
import { SimulatedRegistry, type RegistryReply } from '../processes/registry.js';
import { SimulatedStore } from '../processes/store.js';
import { type ConfigurationWrite, History, type PurgeWrite } from '../history/history.js';
import { numberField, outcomeOfStatus } from '../history/replies.js';
import { Coverage } from '../rules/coverage.js';
import { type ConfigurationVariant, createConfiguration } from './configuration.js';
import { toCommandId, toFleetId, toGeneration } from '@switchwheel/types';
import type { PurgeTarget } from '@switchwheel/transport';
import type { ReplicationSettings } from '@switchwheel/replicated-store';

/** How large a simulated fleet is, and what stands behind it. */
export interface FleetLayout {
  readonly seed: number;
  readonly edges: number;
  readonly shields: number;
  /** How many machines have a disk; two if it isn't said. */
  readonly stores?: number;
  readonly replication?: ReplicationSettings;
  /** Whether nodes that run nothing may start on what disks hold. */
  readonly startsFromDisks?: boolean;
  /** The areas of the machines with a disk, in their order; they go round by four if it isn't said. */
  readonly storeZones?: readonly string[];
  readonly services: readonly {
    readonly name: ServiceName;
    readonly origins: number;
    readonly slots: number;
    readonly perSecond: number | undefined;
    readonly hedgeMs?: number;
  }[];
}

/** One write of an operator, with all that became of it. */
export interface OperatorWrite {
  readonly id: CommandId;
  readonly kind: 'apply' | 'purge';
  readonly sentAt: number;
  readonly marker: number;
  /** Whether its configuration must be rejected. */
  readonly isInvalid: boolean;
  reply:
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

/** A whole simulated fleet. */
export class World implements SimulationContext {
  readonly eventQueue = new EventQueue();
  readonly random: SeededRandom;
  readonly network: Network;
  readonly processes = new Map<Address, SimulatedProcess>();
  readonly logs: string[] = [];
  readonly registries: SimulatedRegistry[] = [];
  readonly stores: SimulatedStore[] = [];
  readonly proxies: SimulatedProxy[] = [];
  readonly origins: SimulatedOrigin[] = [];
  readonly writes: OperatorWrite[] = [];
  readonly coverage = new Coverage();
  /** What operators requested, and the replies they got. */
  readonly history = new History(() => this.eventQueue.now);
  readonly selfReportedViolations: string[] = [];
  readonly layout: FleetLayout;
  readonly #revisions = new Map<string, { readonly revision: number; readonly since: number }[]>();
  #originCount = 0;
  #writeCount = 0;
  afterEvent: (actor: SimulatedProcess) => void = () => undefined;
  /** Sees every control frame, where a run needs it. */
  frameObserver: FrameObserver | undefined;
  /** Whether a node is out of reach of the fleet. */
  isUnreachable: (proxy: SimulatedProxy) => boolean = () => false;

  constructor(layout: FleetLayout) {
    this.layout = layout;
    this.random = new SeededRandom(layout.seed);
    this.network = new Network(this.eventQueue, this.random.fork());
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
        new SimulatedRegistry(
          this,
          toNodeId(name),
          toAddress(`10.0.0.${at + 1}:1`),
          layout.storeZones?.[at - layout.shields] ?? area(at),
          seeds,
          layout.startsFromDisks,
        ),
      );
    }
    for (let at = 0; at < stores; at += 1)
      this.stores.push(
        new SimulatedStore(
          this,
          toNodeId(`store-${at + 1}`),
          toAddress(`10.0.1.${at + 1}:1`),
          layout.storeZones?.[at] ?? area(at + 1),
          seeds,
          layout.replication,
        ),
      );
    for (let at = 0; at < layout.shields; at += 1)
      this.proxies.push(
        new SimulatedProxy(
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
        new SimulatedProxy(
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
  addRegistry(name: string, index: number, zone = 'one'): SimulatedRegistry {
    const seeds = this.registries.slice(0, 3).map((one) => one.address);
    const registry = new SimulatedRegistry(
      this,
      toNodeId(name),
      toAddress(`10.0.9.${index}:1`),
      zone,
      () => seeds,
    );
    this.registries.push(registry);
    registry.start();
    return registry;
  }

  /** A new edge that knows nothing but the addresses of some registries. */
  addEdge(name: string, index: number, seeds: readonly Address[]): SimulatedProxy {
    const edge = new SimulatedProxy(
      this,
      'edge',
      toNodeId(name),
      toAddress(`10.0.7.${index}:1`),
      'one',
      () => seeds,
      () => this.origins,
    );
    this.proxies.push(edge);
    edge.start();
    return edge;
  }

  /** A new machine with a blank disk. */
  addStore(name: string, index: number, zone = 'one'): SimulatedStore {
    const seeds = this.registries.slice(0, 3).map((one) => one.address);
    const store = new SimulatedStore(
      this,
      toNodeId(name),
      toAddress(`10.0.8.${index}:1`),
      zone,
      () => seeds,
      this.layout.replication,
    );
    this.stores.push(store);
    store.start();
    return store;
  }

  /** A store is gone for good, with its disk. */
  removeStore(store: SimulatedStore): void {
    store.kill();
    this.stores.splice(this.stores.indexOf(store), 1);
    this.processes.delete(store.address);
  }

  /** A registry is gone for good: nothing names it any more. */
  removeRegistry(registry: SimulatedRegistry): void {
    registry.kill();
    this.registries.splice(this.registries.indexOf(registry), 1);
    this.processes.delete(registry.address);
  }

  get allProcesses(): readonly SimulatedProcess[] {
    return [...this.registries, ...this.stores, ...this.proxies];
  }

  get edges(): readonly SimulatedProxy[] {
    return this.proxies.filter((one) => one.role === 'edge');
  }

  get shields(): readonly SimulatedProxy[] {
    return this.proxies.filter((one) => one.role === 'shield');
  }

  findProcess(name: string): SimulatedProcess {
    const found = this.allProcesses.find((one) => one.node === name);
    if (found === undefined) throw new Error(`no actor ${name}`);
    return found;
  }

  runFor(durationMs: number): void {
    const end = this.eventQueue.now + durationMs;
    while (this.eventQueue.runNext(end));
  }

  /** Runs until something is so, or time is over; says whether it was. */
  runUntil(timeoutMs: number, condition: () => boolean): boolean {
    const end = this.eventQueue.now + timeoutMs;
    while (!condition()) if (!this.eventQueue.runNext(end)) return condition();
    return true;
  }

  addOrigin(
    service: ServiceName,
    slots: number,
    release = 'r1',
    address?: Address,
  ): SimulatedOrigin {
    this.#originCount += 1;
    const spot =
      address ??
      toAddress(`10.1.${Math.floor(this.#originCount / 200)}.${(this.#originCount % 200) + 1}:80`);
    const origin = new SimulatedOrigin(
      this,
      service,
      toInstanceId(`${service}.${this.#originCount}`),
      spot,
      toRelease(release),
      slots,
      () => this.registries,
      (path) => this.revisionOf(path),
    );
    this.origins.push(origin);
    return origin;
  }

  /** Starts every process and origin, founds the fleet and applies a first configuration. */
  bootstrap(): void {
    for (const actor of this.allProcesses)
      this.eventQueue.schedule(this.random.uniform(0, 100), () => actor.start());
    for (const service of this.layout.services)
      for (let at = 0; at < service.origins; at += 1) this.addOrigin(service.name, service.slots);
    const met = this.runUntil(5000, () =>
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
      this.registries[0]?.handleRequest(
        {
          verb: 'bootstrap',
          id: toCommandId('found'),
          fleet: toFleetId('sim'),
          stores: this.stores.map((one) => one.node),
          voters: this.registries.map((one) => one.node),
        },
        (reply) => {
          founded = reply.status === 200;
          if (!founded) this.eventQueue.schedule(100, found);
        },
      );
    };
    found();
    if (!this.runUntil(5000, () => founded)) throw new Error('the fleet was not founded');
    if (!this.runUntil(5000, () => this.primary() !== undefined)) throw new Error('no primary');
    this.apply(1);
    const up = (): boolean =>
      this.proxies.every((one) => one.isReady) &&
      this.layout.services.every((one) => this.serviceLeaderOf(one.name) !== undefined);
    if (!this.runUntil(8000, up))
      throw new Error(
        `not in force: ${this.proxies
          .filter((one) => !one.isReady)
          .map((one) => one.node)
          .join(', ')} ${JSON.stringify(this.writes.map((one) => one.reply))}`,
      );
  }

  primary(): SimulatedStore | undefined {
    return this.stores.find(
      (one) =>
        one.state?.isServing === true &&
        one.state.candidate.phase.phase === 'holdingLease' &&
        one.clock < one.state.candidate.phase.leaseEndsAt,
    );
  }

  serviceLeaderOf(service: ServiceName): SimulatedProxy | undefined {
    return this.shields.find((one) => one.state?.activeLeaders.has(service));
  }

  revisionOf(path: string): number {
    return this.#revisions.get(path)?.at(-1)?.revision ?? 0;
  }

  advanceRevision(path: string): void {
    const list = this.#revisions.get(path) ?? [];
    list.push({ revision: this.revisionOf(path) + 1, since: this.eventQueue.now });
    this.#revisions.set(path, list);
  }

  /** When a revision of an object stopped being the newest; undefined while it is. */
  supersededAt(path: string, revision: number): number | undefined {
    return this.#revisions.get(path)?.find((one) => one.revision > revision)?.since;
  }

  #pickRegistry(): SimulatedRegistry | undefined {
    return this.random.pick(this.registries.filter((one) => one.isAlive && !one.isFrozen));
  }

  #send(
    write: OperatorWrite,
    call: (registry: SimulatedRegistry, done: (reply: RegistryReply) => void) => void,
  ): void {
    const registry = this.#pickRegistry();
    if (registry === undefined) return;
    call(registry, (reply) => {
      if (
        reply.status === 200 &&
        write.paths.some((path) => this.origins.some((one) => one.isWorkingOn(path)))
      )
        this.coverage.record('R7: a purge raced a fetch');
      write.reply ??= {
        at: this.eventQueue.now,
        status: reply.status,
        generation: numberField(reply.body, 'generation') ?? 0,
        purge: numberField(reply.body, 'purge') ?? 0,
        hash: /"hash":"([0-9a-f]+)"/.exec(reply.body)?.[1] ?? '',
      };
    });
  }

  /** The highest generation that was acknowledged to any operator. */
  highestAcknowledgedGeneration(): number {
    return Math.max(
      0,
      ...this.writes.map((one) => (one.reply?.status === 200 ? one.reply.generation : 0)),
    );
  }

  /** An operator applies a configuration; `marker` makes it unlike others. */
  apply(
    marker: number,
    base?: number,
    variant: ConfigurationVariant = 'plain',
    repeated?: OperatorWrite,
  ): OperatorWrite {
    this.#writeCount += 1;
    const write: OperatorWrite = {
      id: repeated?.id ?? toCommandId(`w${this.#writeCount}`),
      kind: 'apply',
      sentAt: this.eventQueue.now,
      marker,
      isInvalid: variant === 'invalid',
      reply: undefined,
      paths: [],
      revisions: new Map(),
    };
    this.writes.push(write);
    const bundle = runToCompletion(
      splitIntoChunks(createConfiguration(this.layout, marker, variant)),
    );
    if (bundle.isErr) throw new Error(JSON.stringify(bundle.error));
    const order: readonly Hash[] = bundle.value.chunkHashes;
    this.#send(write, (registry, done) => {
      const { hash } = bundle.value;
      const open = this.history.begin<ConfigurationWrite>({
        kind: 'write',
        isNumbered: false,
        version: { number: undefined, hash },
        outcome: 'unknown',
        startedAt: this.eventQueue.now,
        endedAt: undefined,
      });
      registry.handleRequest(
        {
          verb: 'apply',
          id: write.id,
          baseGeneration: base === undefined ? undefined : toGeneration(base),
          hash: bundle.value.hash,
          chunkHashes: order,
          chunks: bundle.value.chunks,
        },
        (reply) => {
          const number =
            reply.status === 200 ? (numberField(reply.body, 'generation') ?? 0) : undefined;
          open.end({ outcome: outcomeOfStatus(reply.status), version: { number, hash } });
          done(reply);
        },
      );
    });
    return write;
  }

  /** An operator changes objects at the origins and purges them. */
  purge(paths: readonly string[], aims: readonly PurgeTarget[]): OperatorWrite {
    this.#writeCount += 1;
    for (const path of paths) this.advanceRevision(path);
    const write: OperatorWrite = {
      id: toCommandId(`w${this.#writeCount}`),
      kind: 'purge',
      sentAt: this.eventQueue.now,
      marker: 0,
      isInvalid: false,
      reply: undefined,
      paths,
      revisions: new Map(paths.map((path) => [path, this.revisionOf(path)])),
    };
    this.writes.push(write);
    this.#send(write, (registry, done) => {
      const open = this.history.begin<PurgeWrite>({
        kind: 'purge',
        number: undefined,
        outcome: 'unknown',
        startedAt: this.eventQueue.now,
        endedAt: undefined,
      });
      registry.handleRequest({ verb: 'purge', id: write.id, targets: aims }, (reply) => {
        const number = reply.status === 200 ? (numberField(reply.body, 'purge') ?? 0) : undefined;
        open.end({ outcome: outcomeOfStatus(reply.status), number });
        done(reply);
      });
    });
    return write;
  }
}
