/** Simulation of one direct edge with callers and origins, from a seed. */

import {
  type InstanceId,
  type ServiceName,
  toAddress,
  toZoneName,
  toGeneration,
  toIncarnation,
  toInstanceId,
  toTimestamp,
  toNodeId,
  toRelease,
  toSeq,
  toServiceName,
} from '@switchwheel/types';
import {
  type CompiledConfiguration,
  buildConfiguration,
  splitIntoChunks,
  runToCompletion,
} from '@switchwheel/configuration';
import { type NodeAgent, Cache, newNodeAgent } from '@switchwheel/proxy-core';
import { EdgeRouter, defaultEdgeLimits, defaultHeaderNames } from '@switchwheel/routing';
import { EventQueue } from '../world/event-queue.js';
import { SeededRandom } from '../world/seeded-random.js';
import { type SentAttempt, SimulatedOriginClient } from './origin-client.js';
import { OriginFleet, type ExecutionRecord, type DirectOrigin } from './origin.js';
import { type CallerRecord, type Violation, checkRequests } from './request-rules.js';

/** Records and violations of one run. */
export interface DirectRun {
  readonly violations: readonly Violation[];
  readonly requests: number;
  readonly executions: number;
  readonly counts: ReadonlyMap<string, number>;
  /** All requests, with the replies that their callers got. */
  readonly callerRecords: readonly CallerRecord[];
  /** Executions at all origins, in order. */
  readonly executionRecords: readonly ExecutionRecord[];
  /** Attempts that the edge sent, in order. */
  readonly sentAttempts: readonly SentAttempt[];
}

const host = 'one.example';
const requestTimeoutMs = 1500;
const tickIntervalMs = 30;
const runDurationMs = 20_000;
/** Time that requests in progress get to finish during a stop. */
const drainTimeoutMs = 4000;
const services = [toServiceName('clips'), toServiceName('edits')] as const;

/** Compiled configuration whose edit route leads to the given service. */
const buildTestConfiguration = (
  service: ServiceName,
  generation: number,
): CompiledConfiguration => {
  const split = runToCompletion(
    splitIntoChunks({
      format: 1,
      classes: [{ name: 'all', share: 1 }],
      services: services.map((name) => ({ name })),
      routes: [
        {
          name: 'clip',
          host,
          prefix: '/clips/',
          service: 'clips',
          class: 'all',
          cache: { lifetimeMs: 400 },
          goalMs: 100,
          origins: 3,
        },
        {
          name: 'edit',
          host,
          prefix: '/edit/',
          methods: ['POST'],
          service,
          class: 'all',
          origins: 3,
        },
      ],
    }),
  );
  if (!split.isOk) throw new Error('the test configuration is not valid');
  const { hash, chunkHashes, chunks } = split.value;
  const texts = chunkHashes.map((chunkHash) => chunks.get(chunkHash) ?? '');
  const compiled = runToCompletion(buildConfiguration(texts, toGeneration(generation), hash));
  if (!compiled.isOk) throw new Error('the test configuration did not compile');
  return compiled.value;
};

/** An edge that sends directly to origins, with faulty origins and callers that may disconnect. */
class DirectWorld {
  readonly eventQueue = new EventQueue();
  readonly random: SeededRandom;
  readonly fleet: OriginFleet;
  readonly callers = new Map<string, CallerRecord>();
  readonly cache = new Cache(1_000_000);
  readonly router: EdgeRouter;
  readonly originClient: SimulatedOriginClient;
  readonly #configurations: readonly CompiledConfiguration[];
  readonly #knownOrigins = new Map<InstanceId, DirectOrigin>();
  readonly #revisions = new Map<string, number>();
  readonly #purgedRevisions = new Map<string, number>();
  #nodeAgent: NodeAgent;
  #purgeCount = 0;
  #originCount = 0;
  #isAccepting = true;

  constructor(seed: number) {
    this.random = new SeededRandom(seed);
    this.fleet = new OriginFleet(this.random.fork());
    this.fleet.faultProbability = this.random.uniform(0, 0.7);
    this.#configurations = services.map((service, index) =>
      buildTestConfiguration(service, index + 1),
    );
    const member = {
      node: toNodeId('e1'),
      role: 'edge' as const,
      area: toZoneName('a'),
      address: toAddress('10.0.0.1:1'),
      incarnation: toIncarnation(1),
    };
    const initialAgent = newNodeAgent(member, [], { seed });
    this.#nodeAgent = {
      ...initialAgent,
      nodeSession: { ...initialAgent.nodeSession, members: [member] },
    };
    this.originClient = new SimulatedOriginClient(
      this.eventQueue,
      this.random.fork(),
      this.fleet,
      (target) => this.#revisionOf(target),
    );
    this.router = new EdgeRouter(
      { now: () => this.#now(), nodeAgent: () => this.#nodeAgent },
      this.cache,
      this.originClient,
      {
        zone: toZoneName('a'),
        headerNames: defaultHeaderNames,
        limits: defaultEdgeLimits,
        maxActiveRequests: 60,
      },
      { seed: seed ^ 0x5bd1e995 },
    );
  }

  run(): void {
    this.#repeat(() => this.#tick(), tickIntervalMs, tickIntervalMs);
    this.#repeat(() => this.#sendRequest(), 1, 30);
    this.eventQueue.schedule(this.random.uniform(5, 200), () => this.#activateConfiguration());
    for (let slot = 0; slot < 4; slot += 1) this.#startOrigin(slot);
    this.#repeat(() => this.#startOrigin(this.random.integer(0, 4)), 300, 2500);
    this.#repeat(() => this.#activateConfiguration(), 1000, 5000);
    this.#repeat(() => this.#changeObject(), 50, 600);
    this.eventQueue.schedule(runDurationMs, () => {
      this.eventQueue.schedule(this.random.uniform(0, 2600), () => {
        this.#isAccepting = false;
      });
      this.eventQueue.schedule(drainTimeoutMs, () => this.router.abortAll());
    });
    while (this.eventQueue.runNext(runDurationMs + drainTimeoutMs + 100));
  }

  #now(): ReturnType<typeof toTimestamp> {
    return toTimestamp(100_000 + this.eventQueue.now);
  }

  #repeat(action: () => void, minDelayMs: number, maxDelayMs: number): void {
    this.eventQueue.schedule(this.random.uniform(minDelayMs, maxDelayMs), () => {
      if (this.eventQueue.now > runDurationMs + drainTimeoutMs) return;
      action();
      this.#repeat(action, minDelayMs, maxDelayMs);
    });
  }

  #tick(): void {
    const now = this.#now();
    const { nodeSession } = this.#nodeAgent;
    this.#nodeAgent = {
      ...this.#nodeAgent,
      purgesCurrentAsOf: now,
      nodeSession: { ...nodeSession, registryHeardAt: now },
    };
    this.router.tick(now);
  }

  #activateConfiguration(): void {
    const configuration = this.random.pick(this.#configurations);
    if (configuration !== undefined)
      this.#nodeAgent = { ...this.#nodeAgent, compiledConfiguration: configuration };
  }

  /** Starts an origin at an address that another one, perhaps of another service, may have used. */
  #startOrigin(slot: number): void {
    this.#originCount += 1;
    const address = toAddress(`10.0.1.${slot + 1}:80`);
    const service = this.random.happens(0.5) ? services[0] : services[1];
    const origin = { instance: toInstanceId(`o${this.#originCount}`), service, address };
    this.fleet.start(origin);
    // The edge learns of the origin after a random delay.
    this.eventQueue.schedule(this.random.uniform(0, 800), () => {
      for (const other of [...this.#knownOrigins.values()])
        if (other.address === address) this.#knownOrigins.delete(other.instance);
      this.#knownOrigins.set(origin.instance, origin);
      this.#updateOrigins();
    });
  }

  #updateOrigins(): void {
    const now = this.#now();
    const origins = new Map(
      [...this.#knownOrigins.values()].map((origin) => [
        origin.instance,
        { ...origin, release: toRelease('r1'), slots: 8, state: 'up' as const, lastHeardAt: now },
      ]),
    );
    this.#nodeAgent = {
      ...this.#nodeAgent,
      nodeSession: { ...this.#nodeAgent.nodeSession, origins },
    };
    this.router.updateFleet(this.#nodeAgent);
  }

  #revisionOf(target: string): number {
    return this.#revisions.get(target) ?? 0;
  }

  /** Changes an object and purges its old revisions. */
  #changeObject(): void {
    const target = `/clips/${this.random.integer(1, 3)}`;
    this.#revisions.set(target, this.#revisionOf(target) + 1);
    this.#purgeCount += 1;
    const lastPurgeSeq = toSeq(this.#purgeCount);
    this.cache.purge(
      [{ seq: lastPurgeSeq, aims: [{ by: 'object', host, path: target }] }],
      false,
      lastPurgeSeq,
    );
    this.router.onPurged();
    this.#nodeAgent = { ...this.#nodeAgent, lastPurgeSeq };
    this.#purgedRevisions.set(target, this.#revisionOf(target));
  }

  #sendRequest(): void {
    if (!this.#isAccepting) return;
    const id = `t${this.callers.size}`;
    const method = this.random.happens(0.4) ? 'POST' : 'GET';
    const target =
      method === 'POST' ? `/edit/${this.callers.size}` : `/clips/${this.random.integer(1, 3)}`;
    const record: CallerRecord = {
      id,
      method,
      target,
      body: method === 'POST' ? `body of ${id}` : '',
      sentAt: this.eventQueue.now,
      deadline: this.eventQueue.now + requestTimeoutMs,
      minRevision: this.#purgedRevisions.get(target) ?? 0,
      hasDisconnected: false,
      replies: [],
    };
    this.callers.set(id, record);
    const request = {
      id,
      method,
      host,
      target,
      fields: [],
      body: Buffer.from(record.body),
      timeoutMs: requestTimeoutMs,
    };
    const disconnect = this.router.serve(request, (reply) => {
      record.replies.push({ at: this.eventQueue.now, reply });
    });
    if (this.random.happens(0.1))
      this.eventQueue.schedule(this.random.uniform(1, 400), () => {
        if (record.replies.length > 0) return;
        record.hasDisconnected = true;
        disconnect();
      });
  }
}

/** Runs one seed and checks all rules. */
export const runDirectEdge = (seed: number): DirectRun => {
  const world = new DirectWorld(seed);
  world.run();
  const mayExecute = (target: string, service: string): boolean =>
    target.startsWith('/edit/') || service === 'clips';
  return {
    violations: checkRequests(world.callers, world.fleet.executions, mayExecute),
    requests: world.callers.size,
    executions: world.fleet.executions.length,
    counts: world.router.counts,
    callerRecords: [...world.callers.values()],
    executionRecords: world.fleet.executions,
    sentAttempts: world.originClient.sentAttempts,
  };
};
