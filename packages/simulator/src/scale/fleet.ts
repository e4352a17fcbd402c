import {
  type Address,
  type ServiceName,
  toAddress,
  toCommandId,
  toFleetId,
  toInstanceId,
  toNodeId,
  toRelease,
  toServiceName,
} from '@switchwheel/types';
import { splitIntoChunks, runToCompletion } from '@switchwheel/configuration';
import { SimulatedRegistry, type RegistryReply } from '../processes/registry.js';
import { SimulatedStore } from '../processes/store.js';
import { Coverage } from '../rules/coverage.js';
import type { SimulatedProcess, SimulationContext } from '../world/process.js';
import { EventQueue } from '../world/event-queue.js';
import { SeededRandom } from '../world/seeded-random.js';
import { createConfiguration } from '../world/configuration.js';
import { Network } from '../world/network.js';
import { Gauge } from './meter.js';
import { HollowNode, type Tables } from './node.js';

/** What a hollow fleet is made of. */
export interface Size {
  readonly seed: number;
  readonly nodes: number;
  readonly origins: number;
  readonly services: number;
  readonly registries: number;
  readonly stores: number;
  readonly areas: number;
}

/** How often an origin says that it stands. */
const announceMs = 2000;
/** Over how long nodes and origins come up, one after another. */
const comeMs = 2000;
const stepMs = 5;

const addressOf = (net: number, at: number): Address =>
  toAddress(`10.${net}.${Math.floor(at / 250)}.${(at % 250) + 1}:1000`);
const numbers = (many: number): readonly number[] => Array.from({ length: many }, (_, at) => at);

/** A fleet whose core is whole and whose edges are hollow. */
export class HollowFleet implements SimulationContext {
  readonly eventQueue = new EventQueue();
  readonly random: SeededRandom;
  readonly network: Network;
  readonly processes = new Map<Address, SimulatedProcess>();
  readonly logs: string[] = [];
  readonly coverage = new Coverage();
  readonly selfReportedViolations: string[] = [];
  readonly meter = new Gauge();
  readonly afterEvent = (): void => undefined;
  readonly highestAcknowledgedGeneration = (): number => 0;
  readonly size: Size;
  readonly registries: readonly SimulatedRegistry[];
  readonly stores: readonly SimulatedStore[];
  readonly nodes: readonly HollowNode[];
  #calls = 0;

  constructor(size: Size) {
    this.size = size;
    this.random = new SeededRandom(size.seed);
    this.network = new Network(this.eventQueue, this.random.fork());
    const tables: Tables = new Map();
    const area = (at: number): string => `area-${at % size.areas}`;
    const seeds = (): readonly Address[] => this.registries.slice(0, 3).map((one) => one.address);
    this.registries = numbers(size.registries).map(
      (at) =>
        new SimulatedRegistry(this, toNodeId(`registry-${at}`), addressOf(0, at), area(at), seeds),
    );
    this.stores = numbers(size.stores).map(
      (at) => new SimulatedStore(this, toNodeId(`store-${at}`), addressOf(1, at), area(at), seeds),
    );
    this.nodes = numbers(size.nodes).map(
      (at) =>
        new HollowNode(this, toNodeId(`edge-${at}`), addressOf(2, at), area(at), seeds, tables),
    );
  }

  get services(): readonly ServiceName[] {
    return numbers(this.size.services).map((at) => toServiceName(`service-${at}`));
  }

  run(span: number): void {
    const end = this.eventQueue.now + span;
    while (this.eventQueue.runNext(end));
  }

  /** How long it takes until something is so, looked at every few milliseconds; undefined if it is not in time. */
  until(span: number, test: () => boolean): number | undefined {
    const began = this.eventQueue.now;
    while (!test()) {
      if (this.eventQueue.now - began >= span) return undefined;
      this.run(stepMs);
    }
    return this.eventQueue.now - began;
  }

  /** As `until`, but what is not so in time is a fault. */
  must(text: string, span: number, test: () => boolean): number {
    const took = this.until(span, test);
    if (took === undefined) throw new Error(`${text}: not within ${span} ms`);
    return took;
  }

  get primary(): SimulatedStore | undefined {
    return this.stores.find(
      (one) => one.state?.isServing === true && one.state.candidate.phase.phase === 'holdingLease',
    );
  }

  /** Starts all, founds the fleet, and lets nodes and origins come. */
  form(): void {
    for (const one of [...this.registries, ...this.stores]) one.start();
    const met = (): boolean =>
      this.registries.every(
        (one) => (one.state?.sessions.size ?? 0) >= this.registries.length + this.stores.length - 1,
      );
    this.must('the core meets', 5000, met);
    this.#found();
    this.must('a primary', 5000, () => this.primary !== undefined);
    this.run(500);
    this.apply(1);
    // Origins first: each word of a new one goes to all nodes there are.
    for (const at of numbers(this.size.origins))
      this.eventQueue.schedule((at * comeMs) / this.size.origins, () => this.#announce(at));
    this.run(comeMs);
    for (const [at, one] of this.nodes.entries())
      this.eventQueue.schedule((at * comeMs) / this.nodes.length, () => one.start());
    this.must('all run the description', 20_000, () =>
      this.nodes.every((one) => one.generation >= 1),
    );
    const known = (): boolean =>
      this.nodes.every((one) => (one.state?.nodeSession.origins.size ?? 0) >= this.size.origins);
    this.must('all know the origins', 20_000, known);
    // Until each service has its record of releases.
    this.run(2000);
  }

  #found(): void {
    let founded = false;
    const ask = (): void => {
      this.call(
        (registry, done) =>
          registry.call(
            {
              verb: 'bootstrap',
              id: toCommandId('found'),
              fleet: toFleetId('hollow'),
              stores: this.stores.map((one) => one.node),
              voters: this.registries.map((one) => one.node),
            },
            done,
          ),
        (told) => {
          founded = told.status === 200;
          if (!founded) this.eventQueue.schedule(100, ask);
        },
      );
    };
    ask();
    this.must('the founding', 5000, () => founded);
  }

  #announce(at: number): void {
    const service = this.services[at % this.size.services];
    if (service === undefined) return;
    this.call(
      (registry, done) =>
        registry.call(
          {
            verb: 'announce',
            origin: {
              service,
              instance: toInstanceId(`origin.${at}`),
              address: addressOf(3, at),
              release: toRelease('r1'),
              slots: 8,
              state: 'up',
            },
          },
          done,
        ),
      () => undefined,
    );
    this.eventQueue.schedule(announceMs, () => this.#announce(at));
  }

  /** A call from outside to any registry that lives. */
  call(
    make: (registry: SimulatedRegistry, done: (told: RegistryReply) => void) => void,
    done: (told: RegistryReply) => void,
  ): void {
    const registry = this.random.pick(this.registries.filter((one) => one.isAlive));
    if (registry !== undefined) make(registry, done);
  }

  #id(): ReturnType<typeof toCommandId> {
    this.#calls += 1;
    return toCommandId(`call-${this.#calls}`);
  }

  /** Hands a description over. */
  apply(mark: number): void {
    const bundle = runToCompletion(
      splitIntoChunks(
        createConfiguration(
          { services: this.services.map((name) => ({ name, perSecond: undefined })) },
          mark,
        ),
      ),
    ).unwrapOrElse((faults) => {
      throw new Error(JSON.stringify(faults));
    });
    const id = this.#id();
    this.call(
      (registry, done) =>
        registry.call(
          {
            verb: 'apply',
            id,
            baseGeneration: undefined,
            hash: bundle.hash,
            chunkHashes: bundle.chunkHashes,
            chunks: bundle.chunks,
          },
          done,
        ),
      (told) => {
        if (told.status !== 200) throw new Error(told.body);
      },
    );
  }

  /** Purges one object; tells the number of the purge once it is accepted. */
  purge(done: (seq: number) => void): void {
    const id = this.#id();
    this.call(
      (registry, told) =>
        registry.call(
          { verb: 'purge', id, aims: [{ by: 'object', path: `/service-0/read/object-${id}` }] },
          told,
        ),
      (told) => {
        if (told.status === 200) done(Number(/"purge":(\d+)/.exec(told.body)?.[1] ?? 0));
      },
    );
  }

  /** Whether every node has its session at a registry that lives and knows of it. */
  stands(): boolean {
    const near = new Map(
      this.registries.filter((one) => one.isAlive).map((one) => [one.address, one] as const),
    );
    return this.nodes.every((one) => {
      const nodeSession = one.state?.nodeSession;
      const registry =
        nodeSession?.registryLink === undefined
          ? undefined
          : near.get(nodeSession.registryLink.address);
      return (
        registry !== undefined &&
        nodeSession?.registryLink?.lastHeardAt !== undefined &&
        registry.state?.sessions.get(one.node)?.registry === registry.node
      );
    });
  }
}
