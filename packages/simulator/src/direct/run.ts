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
import { Agenda } from '../world/agenda.js';
import { Chance } from '../world/chance.js';
import { type SentAttempt, SimulatedLegs } from './leg.js';
import { OriginFleet, type RunRecord, type SimulatedOrigin } from './origin.js';
import { type CallerRecord, type Violation, judge } from './rules.js';

/** What a run brought about. */
export interface DirectRun {
  readonly violations: readonly Violation[];
  readonly requests: number;
  readonly runs: number;
  readonly counts: ReadonlyMap<string, number>;
  /** Every request, with all that its caller was told. */
  readonly callerRecords: readonly CallerRecord[];
  /** What the origins ran, in their order. */
  readonly runRecords: readonly RunRecord[];
  /** What the edge sent to origins, in its order. */
  readonly sentAttempts: readonly SentAttempt[];
}

const host = 'one.example';
const spanMs = 1500;
const tickMs = 30;
const runMs = 20_000;
/** Of a stop, how long what is under way may go on. */
const stopMs = 4000;
const services = [toServiceName('clips'), toServiceName('edits')] as const;

/** One configuration: both routes of the service named. */
const tableFor = (service: ServiceName, generation: number): CompiledConfiguration => {
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
  readonly agenda = new Agenda();
  readonly chance: Chance;
  readonly fleet: OriginFleet;
  readonly callers = new Map<string, CallerRecord>();
  readonly cache = new Cache(1_000_000);
  readonly line: EdgeRouter;
  readonly legs: SimulatedLegs;
  readonly #tables: readonly CompiledConfiguration[];
  readonly #standing = new Map<InstanceId, SimulatedOrigin>();
  readonly #revisions = new Map<string, number>();
  readonly #purged = new Map<string, number>();
  #cabin: NodeAgent;
  #purges = 0;
  #started = 0;
  #accepting = true;

  constructor(seed: number) {
    this.chance = new Chance(seed);
    this.fleet = new OriginFleet(this.chance.part());
    this.fleet.troubleShare = this.chance.between(0, 0.7);
    this.#tables = services.map((service, at) => tableFor(service, at + 1));
    const member = {
      node: toNodeId('e1'),
      role: 'edge' as const,
      area: toZoneName('a'),
      address: toAddress('10.0.0.1:1'),
      incarnation: toIncarnation(1),
    };
    const fresh = newNodeAgent(member, [], { seed });
    this.#cabin = { ...fresh, nodeSession: { ...fresh.nodeSession, members: [member] } };
    this.legs = new SimulatedLegs(this.agenda, this.chance.part(), this.fleet, (target) =>
      this.#revisionOf(target),
    );
    this.line = new EdgeRouter(
      { now: () => this.#now(), nodeAgent: () => this.#cabin },
      this.cache,
      this.legs,
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
    this.#repeat(() => this.#tick(), tickMs, tickMs);
    this.#repeat(() => this.#ask(), 1, 30);
    this.agenda.after(this.chance.between(5, 200), () => this.#adopt());
    for (let at = 0; at < 4; at += 1) this.#startOrigin(at);
    this.#repeat(() => this.#startOrigin(this.chance.whole(0, 4)), 300, 2500);
    this.#repeat(() => this.#adopt(), 1000, 5000);
    this.#repeat(() => this.#change(), 50, 600);
    this.agenda.after(runMs, () => {
      this.agenda.after(this.chance.between(0, 2600), () => {
        this.#accepting = false;
      });
      this.agenda.after(stopMs, () => this.line.abortAll());
    });
    while (this.agenda.step(runMs + stopMs + 100));
  }

  #now(): ReturnType<typeof toTimestamp> {
    return toTimestamp(100_000 + this.agenda.now);
  }

  #repeat(act: () => void, least: number, most: number): void {
    this.agenda.after(this.chance.between(least, most), () => {
      if (this.agenda.now > runMs + stopMs) return;
      act();
      this.#repeat(act, least, most);
    });
  }

  #tick(): void {
    const at = this.#now();
    const { nodeSession } = this.#cabin;
    this.#cabin = {
      ...this.#cabin,
      purgesCurrentAsOf: at,
      nodeSession: { ...nodeSession, registryHeardAt: at },
    };
    this.line.tick(at);
  }

  #adopt(): void {
    const table = this.chance.one(this.#tables);
    if (table !== undefined) this.#cabin = { ...this.#cabin, compiledConfiguration: table };
  }

  /** An origin starts at an address that another one, perhaps of another service, may have had. */
  #startOrigin(place: number): void {
    this.#started += 1;
    const address = toAddress(`10.0.1.${place + 1}:80`);
    const service = this.chance.hit(0.5) ? services[0] : services[1];
    const origin = { instance: toInstanceId(`o${this.#started}`), service, address };
    this.fleet.start(origin);
    // The edge hears of it some time later.
    this.agenda.after(this.chance.between(0, 800), () => {
      for (const other of [...this.#standing.values()])
        if (other.address === address) this.#standing.delete(other.instance);
      this.#standing.set(origin.instance, origin);
      this.#learn();
    });
  }

  #learn(): void {
    const at = this.#now();
    const origins = new Map(
      [...this.#standing.values()].map((one) => [
        one.instance,
        { ...one, release: toRelease('r1'), slots: 8, state: 'up' as const, lastHeardAt: at },
      ]),
    );
    this.#cabin = { ...this.#cabin, nodeSession: { ...this.#cabin.nodeSession, origins } };
    this.line.updateFleet(this.#cabin);
  }

  #revisionOf(target: string): number {
    return this.#revisions.get(target) ?? 0;
  }

  /** An object changes, and its old revisions are purged. */
  #change(): void {
    const target = `/clips/${this.chance.whole(1, 3)}`;
    this.#revisions.set(target, this.#revisionOf(target) + 1);
    this.#purges += 1;
    const top = toSeq(this.#purges);
    this.cache.purge([{ seq: top, aims: [{ by: 'object', host, path: target }] }], false, top);
    this.line.onPurged();
    this.#cabin = { ...this.#cabin, lastPurgeSeq: top };
    this.#purged.set(target, this.#revisionOf(target));
  }

  #ask(): void {
    if (!this.#accepting) return;
    const id = `t${this.callers.size}`;
    const method = this.chance.hit(0.4) ? 'POST' : 'GET';
    const target =
      method === 'POST' ? `/edit/${this.callers.size}` : `/clips/${this.chance.whole(1, 3)}`;
    const record: CallerRecord = {
      id,
      method,
      target,
      body: method === 'POST' ? `body of ${id}` : '',
      sentAt: this.agenda.now,
      deadline: this.agenda.now + spanMs,
      leastRevision: this.#purged.get(target) ?? 0,
      left: false,
      told: [],
    };
    this.callers.set(id, record);
    const call = {
      id,
      method,
      host,
      target,
      fields: [],
      body: Buffer.from(record.body),
      timeoutMs: spanMs,
    };
    const leave = this.line.serve(call, (word) => {
      record.told.push({ at: this.agenda.now, word });
    });
    if (this.chance.hit(0.1))
      this.agenda.after(this.chance.between(1, 400), () => {
        if (record.told.length > 0) return;
        record.left = true;
        leave();
      });
  }
}

/** Plays one seed and judges it. */
export const playDirect = (seed: number): DirectRun => {
  const world = new DirectWorld(seed);
  world.run();
  const mayRun = (target: string, service: string): boolean =>
    target.startsWith('/edit/') || service === 'clips';
  return {
    violations: judge(world.callers, world.fleet.runs, mayRun),
    requests: world.callers.size,
    runs: world.fleet.runs.length,
    counts: world.line.counts,
    callerRecords: [...world.callers.values()],
    runRecords: world.fleet.runs,
    sentAttempts: world.legs.sent,
  };
};
