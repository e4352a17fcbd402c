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
import { type SentAttempt, SimulatedAttemptPort } from './attempt-port.js';
import { OriginFleet, type ExecutionRecord, type DirectOrigin } from './origin.js';
import { type CallerRecord, type Violation, judge } from './request-rules.js';

/** What a run brought about. */
export interface DirectRun {
  readonly violations: readonly Violation[];
  readonly requests: number;
  readonly executions: number;
  readonly counts: ReadonlyMap<string, number>;
  /** Every request, with all that its caller was told. */
  readonly callerRecords: readonly CallerRecord[];
  /** What the origins ran, in their order. */
  readonly executionRecords: readonly ExecutionRecord[];
  /** What the edge sent to origins, in its order. */
  readonly sentAttempts: readonly SentAttempt[];
}

const host = 'one.example';
const requestTimeoutMs = 1500;
const tickIntervalMs = 30;
const runDurationMs = 20_000;
/** Of a stop, how long what is under way may go on. */
const stopGraceMs = 4000;
const services = [toServiceName('clips'), toServiceName('edits')] as const;

/** One configuration: both routes of the service named. */
const buildTable = (service: ServiceName, generation: number): CompiledConfiguration => {
  const bundle = runToCompletion(
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
  if (!bundle.isOk) throw new Error('the description is not valid');
  const { hash, chunkHashes, chunks } = bundle.value;
  const texts = chunkHashes.map((one) => chunks.get(one) ?? '');
  const built = runToCompletion(buildConfiguration(texts, toGeneration(generation), hash));
  if (!built.isOk) throw new Error('the table was not built');
  return built.value;
};

/** An edge that sends straight to origins, with callers and origins in all their troubles, from one seed. */
class DirectWorld {
  readonly eventQueue = new EventQueue();
  readonly random: SeededRandom;
  readonly fleet: OriginFleet;
  readonly callers = new Map<string, CallerRecord>();
  readonly cache = new Cache(1_000_000);
  readonly router: EdgeRouter;
  readonly attemptPort: SimulatedAttemptPort;
  readonly #tables: readonly CompiledConfiguration[];
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
    this.#tables = services.map((service, at) => buildTable(service, at + 1));
    const member = {
      node: toNodeId('e1'),
      role: 'edge' as const,
      area: toZoneName('a'),
      address: toAddress('10.0.0.1:1'),
      incarnation: toIncarnation(1),
    };
    const fresh = newNodeAgent(member, [], { seed });
    this.#nodeAgent = { ...fresh, nodeSession: { ...fresh.nodeSession, members: [member] } };
    this.attemptPort = new SimulatedAttemptPort(
      this.eventQueue,
      this.random.fork(),
      this.fleet,
      (target) => this.#revisionOf(target),
    );
    this.router = new EdgeRouter(
      { now: () => this.#now(), nodeAgent: () => this.#nodeAgent },
      this.cache,
      this.attemptPort,
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
    this.eventQueue.schedule(this.random.uniform(5, 200), () => this.#activateTable());
    for (let at = 0; at < 4; at += 1) this.#startOrigin(at);
    this.#repeat(() => this.#startOrigin(this.random.integer(0, 4)), 300, 2500);
    this.#repeat(() => this.#activateTable(), 1000, 5000);
    this.#repeat(() => this.#changeObject(), 50, 600);
    this.eventQueue.schedule(runDurationMs, () => {
      this.eventQueue.schedule(this.random.uniform(0, 2600), () => {
        this.#isAccepting = false;
      });
      this.eventQueue.schedule(stopGraceMs, () => this.router.abortAll());
    });
    while (this.eventQueue.runNext(runDurationMs + stopGraceMs + 100));
  }

  #now(): ReturnType<typeof toTimestamp> {
    return toTimestamp(100_000 + this.eventQueue.now);
  }

  #repeat(act: () => void, least: number, most: number): void {
    this.eventQueue.schedule(this.random.uniform(least, most), () => {
      if (this.eventQueue.now > runDurationMs + stopGraceMs) return;
      act();
      this.#repeat(act, least, most);
    });
  }

  #tick(): void {
    const at = this.#now();
    const { nodeSession } = this.#nodeAgent;
    this.#nodeAgent = {
      ...this.#nodeAgent,
      purgesCurrentAsOf: at,
      nodeSession: { ...nodeSession, registryHeardAt: at },
    };
    this.router.tick(at);
  }

  #activateTable(): void {
    const table = this.random.pick(this.#tables);
    if (table !== undefined) this.#nodeAgent = { ...this.#nodeAgent, compiledConfiguration: table };
  }

  /** An origin starts at an address that another one, perhaps of another service, may have had. */
  #startOrigin(place: number): void {
    this.#originCount += 1;
    const address = toAddress(`10.0.1.${place + 1}:80`);
    const service = this.random.happens(0.5) ? services[0] : services[1];
    const origin = { instance: toInstanceId(`o${this.#originCount}`), service, address };
    this.fleet.start(origin);
    // The edge hears of it some time later.
    this.eventQueue.schedule(this.random.uniform(0, 800), () => {
      for (const other of [...this.#knownOrigins.values()])
        if (other.address === address) this.#knownOrigins.delete(other.instance);
      this.#knownOrigins.set(origin.instance, origin);
      this.#updateOrigins();
    });
  }

  #updateOrigins(): void {
    const at = this.#now();
    const origins = new Map(
      [...this.#knownOrigins.values()].map((one) => [
        one.instance,
        { ...one, release: toRelease('r1'), slots: 8, state: 'up' as const, lastHeardAt: at },
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

  /** An object changes, and its old revisions are purged. */
  #changeObject(): void {
    const target = `/clips/${this.random.integer(1, 3)}`;
    this.#revisions.set(target, this.#revisionOf(target) + 1);
    this.#purgeCount += 1;
    const top = toSeq(this.#purgeCount);
    this.cache.purge([{ seq: top, aims: [{ by: 'object', host, path: target }] }], false, top);
    this.router.onPurged();
    this.#nodeAgent = { ...this.#nodeAgent, lastPurgeSeq: top };
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
      leastRevision: this.#purgedRevisions.get(target) ?? 0,
      hasLeft: false,
      replies: [],
    };
    this.callers.set(id, record);
    const call = {
      id,
      method,
      host,
      target,
      fields: [],
      body: Buffer.from(record.body),
      timeoutMs: requestTimeoutMs,
    };
    const leave = this.router.serve(call, (word) => {
      record.replies.push({ at: this.eventQueue.now, reply: word });
    });
    if (this.random.happens(0.1))
      this.eventQueue.schedule(this.random.uniform(1, 400), () => {
        if (record.replies.length > 0) return;
        record.hasLeft = true;
        leave();
      });
  }
}

/** Plays one seed and judges it. */
export const runDirectEdge = (seed: number): DirectRun => {
  const world = new DirectWorld(seed);
  world.run();
  const mayRun = (target: string, service: string): boolean =>
    target.startsWith('/edit/') || service === 'clips';
  return {
    violations: judge(world.callers, world.fleet.executions, mayRun),
    requests: world.callers.size,
    executions: world.fleet.executions.length,
    counts: world.router.counts,
    callerRecords: [...world.callers.values()],
    executionRecords: world.fleet.executions,
    sentAttempts: world.attemptPort.sent,
  };
};
