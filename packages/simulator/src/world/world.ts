/** A whole simulated fleet: processes, origins and objects, and the commands of operators. */

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

/** Size and settings of a simulated fleet. */
export interface FleetLayout {
  readonly seed: number;
  readonly edges: number;
  readonly shields: number;
  /** Number of stores; 2 by default. */
  readonly stores?: number;
  readonly replication?: ReplicationSettings;
  /** Whether registries offer configurations from disk hints of stores while there is no primary. */
  readonly offersDiskHints?: boolean;
  /** Zones of the stores in order; by default they rotate through four zones. */
  readonly storeZones?: readonly string[];
  readonly services: readonly {
    readonly name: ServiceName;
    readonly origins: number;
    readonly slots: number;
    readonly perSecond: number | undefined;
    readonly hedgeMs?: number;
  }[];
}

/** One write of an operator, and the reply to it. */
export interface OperatorWrite {
  readonly id: CommandId;
  readonly kind: 'apply' | 'purge';
  readonly sentAt: number;
  readonly marker: number;
  /** Whether the configuration must be rejected. */
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
  /** For a purge: revisions of the objects when it was sent. */
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
  /** Requests of operators and the replies to them. */
  readonly history = new History(() => this.eventQueue.now);
  readonly selfReportedViolations: string[] = [];
  readonly layout: FleetLayout;
  readonly #revisions = new Map<string, { readonly revision: number; readonly since: number }[]>();
  #originCount = 0;
  #writeCount = 0;
  afterEvent: (process: SimulatedProcess) => void = () => undefined;
  /** Optional observer of all control frames. */
  frameObserver: FrameObserver | undefined;
  /** Whether a node is disconnected from the part of the fleet that accepts writes. */
  isUnreachable: (proxy: SimulatedProxy) => boolean = () => false;

  constructor(layout: FleetLayout) {
    this.layout = layout;
    this.random = new SeededRandom(layout.seed);
    this.network = new Network(this.eventQueue, this.random.fork());
    const seeds = (): readonly Address[] => this.registries.slice(0, 3).map((peer) => peer.address);
    const zones = ['one', 'two', 'three', 'four'];
    const zoneAt = (index: number): string => zones[index % zones.length] ?? 'one';
    const stores = layout.stores ?? 2;
    for (let index = 0; index < layout.shields + stores; index += 1) {
      const name =
        index < layout.shields
          ? `shield-${index + 1}-registry`
          : `store-${index - layout.shields + 1}-registry`;
      this.registries.push(
        new SimulatedRegistry(
          this,
          toNodeId(name),
          toAddress(`10.0.0.${index + 1}:1`),
          layout.storeZones?.[index - layout.shields] ?? zoneAt(index),
          seeds,
          layout.offersDiskHints,
        ),
      );
    }
    for (let index = 0; index < stores; index += 1)
      this.stores.push(
        new SimulatedStore(
          this,
          toNodeId(`store-${index + 1}`),
          toAddress(`10.0.1.${index + 1}:1`),
          layout.storeZones?.[index] ?? zoneAt(index + 1),
          seeds,
          layout.replication,
        ),
      );
    for (let index = 0; index < layout.shields; index += 1)
      this.proxies.push(
        new SimulatedProxy(
          this,
          'shield',
          toNodeId(`shield-${index + 1}`),
          toAddress(`10.0.2.${index + 1}:1`),
          zoneAt(index),
          seeds,
          () => this.origins,
        ),
      );
    for (let index = 0; index < layout.edges; index += 1)
      this.proxies.push(
        new SimulatedProxy(
          this,
          'edge',
          toNodeId(`edge-${index + 1}`),
          toAddress(`10.0.3.${index + 1}:1`),
          zoneAt(index),
          seeds,
          () => this.origins,
        ),
      );
  }

  /** Starts a new registry that uses the current first three registries as seeds. */
  addRegistry(name: string, index: number, zone = 'one'): SimulatedRegistry {
    const seeds = this.registries.slice(0, 3).map((peer) => peer.address);
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

  /** Starts a new edge that knows only the given seed addresses. */
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

  /** Starts a new store with an empty disk. */
  addStore(name: string, index: number, zone = 'one'): SimulatedStore {
    const seeds = this.registries.slice(0, 3).map((peer) => peer.address);
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

  /** Removes a store and its disk permanently. */
  removeStore(store: SimulatedStore): void {
    store.kill();
    this.stores.splice(this.stores.indexOf(store), 1);
    this.processes.delete(store.address);
  }

  /** Removes a registry permanently. */
  removeRegistry(registry: SimulatedRegistry): void {
    registry.kill();
    this.registries.splice(this.registries.indexOf(registry), 1);
    this.processes.delete(registry.address);
  }

  get allProcesses(): readonly SimulatedProcess[] {
    return [...this.registries, ...this.stores, ...this.proxies];
  }

  get edges(): readonly SimulatedProxy[] {
    return this.proxies.filter((proxy) => proxy.role === 'edge');
  }

  get shields(): readonly SimulatedProxy[] {
    return this.proxies.filter((proxy) => proxy.role === 'shield');
  }

  findProcess(name: string): SimulatedProcess {
    const process = this.allProcesses.find((candidate) => candidate.node === name);
    if (process === undefined) throw new Error(`no simulated process named ${name}`);
    return process;
  }

  runFor(durationMs: number): void {
    const end = this.eventQueue.now + durationMs;
    while (this.eventQueue.runNext(end));
  }

  /** Runs until a condition holds or the timeout expires. Returns whether it holds. */
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
    const originAddress =
      address ??
      toAddress(`10.1.${Math.floor(this.#originCount / 200)}.${(this.#originCount % 200) + 1}:80`);
    const origin = new SimulatedOrigin(
      this,
      service,
      toInstanceId(`${service}.${this.#originCount}`),
      originAddress,
      toRelease(release),
      slots,
      () => this.registries,
      (path) => this.revisionOf(path),
    );
    this.origins.push(origin);
    return origin;
  }

  /** Starts all processes and origins, bootstraps the cluster and applies a first configuration. */
  bootstrap(): void {
    for (const process of this.allProcesses)
      this.eventQueue.schedule(this.random.uniform(0, 100), () => process.start());
    for (const service of this.layout.services)
      for (let index = 0; index < service.origins; index += 1)
        this.addOrigin(service.name, service.slots);
    const isConnected = this.runUntil(5000, () =>
      this.registries.every(
        (registry) =>
          registry.state !== undefined &&
          [...registry.state.sessions.values()].filter(
            (session) => session.member.role === 'registry',
          ).length ===
            this.registries.length - 1 &&
          [...registry.state.sessions.values()].filter((session) => session.member.role === 'store')
            .length === this.stores.length,
      ),
    );
    if (!isConnected) throw new Error('registries and stores did not connect within 5 s');
    let isBootstrapped = false;
    const requestBootstrap = (): void => {
      this.registries[0]?.handleRequest(
        {
          verb: 'bootstrap',
          id: toCommandId('bootstrap'),
          fleet: toFleetId('sim'),
          stores: this.stores.map((store) => store.node),
          voters: this.registries.map((registry) => registry.node),
        },
        (reply) => {
          isBootstrapped = reply.status === 200;
          if (!isBootstrapped) this.eventQueue.schedule(100, requestBootstrap);
        },
      );
    };
    requestBootstrap();
    if (!this.runUntil(5000, () => isBootstrapped))
      throw new Error('the cluster was not bootstrapped within 5 s');
    if (!this.runUntil(5000, () => this.primary() !== undefined))
      throw new Error('no primary was elected within 5 s');
    this.apply(1);
    const isServing = (): boolean =>
      this.proxies.every((proxy) => proxy.isReady) &&
      this.layout.services.every((service) => this.serviceLeaderOf(service.name) !== undefined);
    if (!this.runUntil(8000, isServing))
      throw new Error(
        `nodes not ready or services without a leader after 8 s: ${this.proxies
          .filter((proxy) => !proxy.isReady)
          .map((proxy) => proxy.node)
          .join(', ')} ${JSON.stringify(this.writes.map((write) => write.reply))}`,
      );
  }

  primary(): SimulatedStore | undefined {
    return this.stores.find(
      (store) =>
        store.state?.isServing === true &&
        store.state.candidate.phase.phase === 'holdingLease' &&
        store.clock < store.state.candidate.phase.leaseEndsAt,
    );
  }

  serviceLeaderOf(service: ServiceName): SimulatedProxy | undefined {
    return this.shields.find((shield) => shield.state?.activeLeaders.has(service));
  }

  revisionOf(path: string): number {
    return this.#revisions.get(path)?.at(-1)?.revision ?? 0;
  }

  incrementRevision(path: string): void {
    const revisions = this.#revisions.get(path) ?? [];
    revisions.push({ revision: this.revisionOf(path) + 1, since: this.eventQueue.now });
    this.#revisions.set(path, revisions);
  }

  /** Time at which a newer revision replaced the given one; undefined while it is the newest. */
  supersededAt(path: string, revision: number): number | undefined {
    return this.#revisions.get(path)?.find((entry) => entry.revision > revision)?.since;
  }

  #pickRegistry(): SimulatedRegistry | undefined {
    return this.random.pick(
      this.registries.filter((registry) => registry.isAlive && !registry.isFrozen),
    );
  }

  #sendWrite(
    write: OperatorWrite,
    send: (registry: SimulatedRegistry, onReply: (reply: RegistryReply) => void) => void,
  ): void {
    const registry = this.#pickRegistry();
    if (registry === undefined) return;
    send(registry, (reply) => {
      if (
        reply.status === 200 &&
        write.paths.some((path) => this.origins.some((origin) => origin.isExecuting(path)))
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

  /** Highest configuration generation that was acknowledged to any operator. */
  highestAcknowledgedGeneration(): number {
    return Math.max(
      0,
      ...this.writes.map((write) => (write.reply?.status === 200 ? write.reply.generation : 0)),
    );
  }

  /** Applies a configuration as an operator; `repeated` sends an earlier write again under its id. */
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
    const split = runToCompletion(
      splitIntoChunks(createConfiguration(this.layout, marker, variant)),
    );
    if (split.isErr) throw new Error(JSON.stringify(split.error));
    const chunkHashes: readonly Hash[] = split.value.chunkHashes;
    this.#sendWrite(write, (registry, onReply) => {
      const { hash } = split.value;
      const operation = this.history.begin<ConfigurationWrite>({
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
          hash: split.value.hash,
          chunkHashes,
          chunks: split.value.chunks,
        },
        (reply) => {
          const number =
            reply.status === 200 ? (numberField(reply.body, 'generation') ?? 0) : undefined;
          operation.end({ outcome: outcomeOfStatus(reply.status), version: { number, hash } });
          onReply(reply);
        },
      );
    });
    return write;
  }

  /** Changes objects at the origins and purges them as an operator. */
  purge(paths: readonly string[], targets: readonly PurgeTarget[]): OperatorWrite {
    this.#writeCount += 1;
    for (const path of paths) this.incrementRevision(path);
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
    this.#sendWrite(write, (registry, onReply) => {
      const operation = this.history.begin<PurgeWrite>({
        kind: 'purge',
        number: undefined,
        outcome: 'unknown',
        startedAt: this.eventQueue.now,
        endedAt: undefined,
      });
      registry.handleRequest({ verb: 'purge', id: write.id, targets }, (reply) => {
        const number = reply.status === 200 ? (numberField(reply.body, 'purge') ?? 0) : undefined;
        operation.end({ outcome: outcomeOfStatus(reply.status), number });
        onReply(reply);
      });
    });
    return write;
  }
}
