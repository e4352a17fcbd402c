import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  type Timestamp,
  noGeneration,
  noSeq,
  toAddress,
  toZoneName,
  toEpoch,
  toFleetId,
  toGeneration,
  toIncarnation,
  toInstanceId,
  toTimestamp,
  toNodeId,
  toRelease,
  toSeq,
  toServiceName,
  toDurationMs,
} from '@switchwheel/types';
import type { HeaderFields, FrameOf, RolloutState } from '@switchwheel/transport';
import { buildConfiguration, splitIntoChunks, runToCompletion } from '@switchwheel/configuration';
import { type NodeAgent, Cache, nodeAgentTransition, newNodeAgent } from '@switchwheel/proxy-core';
import type { OriginResponse } from '../attempt-state/attempt-state.js';
import { EdgeRouter } from './edge-router.js';
import {
  type IncomingRequest,
  type AttemptHandlers,
  type AttemptRequest,
  type ClientReply,
  defaultEdgeLimits,
  defaultHeaderNames,
} from './ports.js';

const service = toServiceName('clips');
const host = 'one.example';
const description = {
  format: 1,
  classes: [
    { name: 'play', share: 0.5 },
    { name: 'edit', share: 0.5 },
  ],
  services: [{ name: 'clips' }],
  routes: [
    {
      name: 'clip',
      host,
      prefix: '/clips/',
      service: 'clips',
      class: 'play',
      cache: { lifetimeMs: 5000 },
      goalMs: 100,
      origins: 2,
    },
    {
      name: 'edit',
      host,
      prefix: '/edit/',
      methods: ['POST'],
      service: 'clips',
      class: 'edit',
      origins: 2,
    },
  ],
};

interface Sent {
  readonly order: AttemptRequest;
  readonly ears: AttemptHandlers;
  cut: boolean;
}

/** A line with origins whose answers the test gives. */
class Bench {
  now: Timestamp = toTimestamp(100_000);
  readonly sent: Sent[] = [];
  readonly told: ClientReply[] = [];
  readonly cache = new Cache(1_000_000);
  cabin: NodeAgent;
  readonly line: EdgeRouter;
  readonly #confirmed = new Map<number, Timestamp>();

  constructor(origins: readonly (readonly [string, string])[]) {
    const bundle = runToCompletion(splitIntoChunks(description));
    assert.ok(bundle.isOk);
    const { hash, chunkHashes, chunks } = bundle.value;
    const built = runToCompletion(
      buildConfiguration(
        chunkHashes.map((one) => chunks.get(one) ?? ''),
        toGeneration(1),
        hash,
      ),
    );
    assert.ok(built.isOk && noGeneration === 0);
    const member = {
      node: toNodeId('e1'),
      role: 'edge' as const,
      area: toZoneName('a'),
      address: toAddress('10.0.0.1:1'),
      incarnation: toIncarnation(1),
    };
    const fresh = newNodeAgent(member, [], { seed: 3 });
    const known = new Map(
      origins.map(([instance, release], at) => [
        toInstanceId(instance),
        {
          service,
          instance: toInstanceId(instance),
          address: toAddress(`10.0.1.${at + 1}:80`),
          release: toRelease(release),
          slots: 4,
          state: 'up' as const,
          lastHeardAt: this.now,
        },
      ]),
    );
    this.cabin = {
      ...fresh,
      compiledConfiguration: built.value,
      purgesCurrentAsOf: this.now,
      configFreshness: {
        newestGeneration: built.value.generation,
        confirmedAsOf: this.now,
        pendingGenerations: [],
      },
      nodeSession: {
        ...fresh.nodeSession,
        registryHeardAt: this.now,
        origins: known,
        members: [member],
      },
    };
    const legs = {
      send: (order: AttemptRequest, ears: AttemptHandlers) => {
        const one: Sent = { order, ears, cut: false };
        this.sent.push(one);
        return () => {
          one.cut = true;
        };
      },
      forget: () => undefined,
    };
    this.line = new EdgeRouter(
      { now: () => this.now, nodeAgent: () => this.cabin },
      this.cache,
      legs,
      {
        zone: toZoneName('a'),
        headerNames: defaultHeaderNames,
        limits: defaultEdgeLimits,
        maxActiveRequests: 100,
      },
      { seed: 7 },
    );
    this.line.updateFleet(this.cabin);
  }

  ask(target: string, method = 'GET', fields: HeaderFields = []): () => void {
    const call: IncomingRequest = {
      id: `t${this.told.length}`,
      method,
      host,
      target,
      fields,
      body: Buffer.alloc(0),
      timeoutMs: 2000,
    };
    return this.line.serve(call, (word) => this.told.push(word));
  }

  pass(ms: number): void {
    this.now = toTimestamp(this.now + ms);
    this.cabin = {
      ...this.cabin,
      purgesCurrentAsOf: this.now,
      nodeSession: { ...this.cabin.nodeSession, registryHeardAt: this.now },
    };
    this.line.tick(this.now);
  }

  /** When the core confirmed a generation. */
  #newestSince(generation: number): Timestamp {
    const known = this.#confirmed.get(generation) ?? this.now;
    this.#confirmed.set(generation, known);
    return known;
  }

  /** A registry in touch with the primary tells this edge which generation is the newest. */
  hearNewest(generation: number): void {
    const reply: FrameOf<'heartbeat-reply'> = {
      kind: 'heartbeat-reply',
      at: this.now,
      registry: toNodeId('r1'),
      incarnation: toIncarnation(1),
      epoch: toEpoch(1),
      age: toDurationMs(0),
      newest: toGeneration(generation),
      newestAge: toDurationMs(this.now - this.#newestSince(generation)),
      purges: [],
      floor: noSeq,
      top: noSeq,
      verdicts: [],
      releases: [],
      vacant: [],
      fleet: toFleetId('f1'),
    };
    const from = {
      node: toNodeId('r1'),
      address: toAddress('10.0.0.2:1'),
      incarnation: toIncarnation(1),
    };
    this.cabin = nodeAgentTransition(this.cabin, {
      kind: 'frameReceived',
      now: this.now,
      from,
      frame: reply,
    }).state;
  }

  answer(at: number, body = 'body', status = 200, unrun = false): void {
    const answer: OriginResponse = {
      status,
      fields: [
        ['cache-tag', 't1'],
        ['etag', '"1"'],
      ],
      body: Buffer.from(body),
      isUnprocessed: unrun,
    };
    this.sent[at]?.ears.onResponse(answer);
  }

  kinds(): readonly string[] {
    return this.told.map((one) => (one.kind === 'failure' ? one.errorKind : one.kind));
  }
}

/** How long a confirmed description may take to be in force, by the bounds of these tests. */
const applySpan = defaultEdgeLimits.maxApplyMs;

const two = [
  ['o1', 'r1'],
  ['o2', 'r1'],
] as const;

void test('what was fetched is kept for its lifetime, and ends with a purge of its path or tag', () => {
  const bench = new Bench(two);
  bench.ask('/clips/1');
  bench.answer(0);
  bench.ask('/clips/1');
  assert.deepEqual([bench.kinds(), bench.sent.length], [['cached', 'cached'], 1]);
  bench.cache.purge([{ seq: toSeq(1), aims: [{ by: 'tag', tag: 't1' }] }], false, toSeq(1));
  bench.line.onPurged();
  bench.cabin = { ...bench.cabin, lastPurgeSeq: toSeq(1) };
  bench.ask('/clips/1');
  assert.equal(bench.sent.length, 2);
  bench.answer(1);
  bench.pass(5001);
  bench.ask('/clips/1');
  assert.equal(bench.sent.length, 3);
});

void test('a fetch that began before a purge is not kept, and nobody who comes later waits for it', () => {
  const bench = new Bench(two);
  bench.ask('/clips/1');
  bench.ask('/clips/1');
  assert.equal(bench.sent.length, 1, 'the second waits for the first');
  bench.cache.purge(
    [{ seq: toSeq(1), aims: [{ by: 'object', host, path: '/clips/1' }] }],
    false,
    toSeq(1),
  );
  bench.line.onPurged();
  bench.cabin = { ...bench.cabin, lastPurgeSeq: toSeq(1) };
  bench.ask('/clips/1');
  assert.equal(bench.sent.length, 2);
  bench.answer(0, 'old');
  bench.answer(1, 'new');
  bench.ask('/clips/1');
  assert.equal(bench.sent.length, 2);
  const last = bench.told.at(-1);
  assert.ok(last?.kind === 'cached' && last.entry.body.toString() === 'new');
});

void test('a cache is silent while this edge may lack purges, and speaks when it is cut off from everyone', () => {
  const bench = new Bench(two);
  bench.ask('/clips/1');
  bench.answer(0);
  bench.now = toTimestamp(bench.now + 1600);
  bench.cabin = {
    ...bench.cabin,
    nodeSession: { ...bench.cabin.nodeSession, registryHeardAt: bench.now },
  };
  bench.ask('/clips/1');
  assert.equal(bench.sent.length, 2, 'its registry has no fresh word');
  bench.answer(1);
  bench.now = toTimestamp(bench.now + 2000);
  bench.ask('/clips/1');
  assert.equal(bench.sent.length, 2, 'no registry is heard at all');
});

void test('a request that may not be repeated is not sent again when its connection breaks, and is when it never opened', () => {
  const bench = new Bench(two);
  bench.ask('/edit/1', 'POST');
  bench.sent[0]?.ears.onFailure(false, 'refused');
  assert.equal(bench.sent.length, 2);
  bench.sent[1]?.ears.onFailure(true, 'reset');
  assert.equal(bench.sent.length, 2);
  assert.deepEqual(bench.kinds(), ['lost']);
});

void test('a late answer of what may be repeated is overtaken by another origin, and the loser is cut', () => {
  const bench = new Bench(two);
  // Requests earn further tries; a new edge has none.
  for (let at = 0; at < 40; at += 1) {
    bench.ask(`/clips/a${at}`);
    bench.answer(at);
  }
  bench.ask('/clips/slow');
  bench.pass(450);
  assert.equal(bench.sent.length, 42);
  assert.notEqual(bench.sent[41]?.order.instance, bench.sent[40]?.order.instance);
  bench.answer(41);
  assert.ok(bench.sent[40]?.cut);
  assert.equal(bench.kinds().at(-1), 'cached');
});

void test('nobody is held to the deadline of a silent origin: the last moment is told as not known', () => {
  const bench = new Bench([['o1', 'r1']]);
  bench.ask('/edit/1', 'POST');
  bench.pass(1990);
  assert.deepEqual(bench.kinds(), ['slow']);
  assert.ok(bench.sent[0]?.cut);
});

void test('without an origin the answer comes at once, with when to come back', () => {
  const bench = new Bench([]);
  bench.ask('/edit/1', 'POST');
  const told = bench.told[0];
  assert.ok(told?.kind === 'failure' && told.errorKind === 'rejected' && told.retryAfterMs > 0);
});

const onTrial = (phase: RolloutState['phase'], share: number): RolloutState => ({
  service,
  settled: toRelease('r1'),
  target: toRelease('r2'),
  phase,
  share,
  shares: [],
  leftMs: toDurationMs(9000),
  order: toSeq(1),
  serial: toSeq(2),
});

void test('a release on trial gets its share, one judged bad nothing, a good one all; the counts are told', () => {
  const bench = new Bench([
    ['o1', 'r1'],
    ['o2', 'r2'],
  ]);
  const shares = new Map<string, number>();
  for (const [phase, share] of [
    ['trial', 0.1],
    ['bad', 0],
    ['good', 0],
  ] as const) {
    bench.cabin = {
      ...bench.cabin,
      releaseStates: new Map([[service, onTrial(phase, share)]]),
      releaseStatesAt: bench.now,
    };
    bench.line.updateFleet(bench.cabin);
    const from = bench.sent.length;
    for (let at = 0; at < 300; at += 1) {
      bench.ask('/edit/1', 'POST');
      bench.answer(bench.sent.length - 1);
    }
    const fresh = bench.sent.slice(from);
    shares.set(phase, fresh.filter((one) => one.order.instance === 'o2').length / fresh.length);
  }
  assert.ok(
    (shares.get('trial') ?? 0) > 0.04 && (shares.get('trial') ?? 0) < 0.17,
    String(shares.get('trial')),
  );
  assert.equal(shares.get('bad'), 0);
  assert.equal(shares.get('good'), 1);
  const [word] = bench.line.rolloutReports(bench.cabin);
  assert.ok(word !== undefined);
  assert.equal(
    word.rows.reduce((sum, row) => sum + row.sent, 0),
    900,
  );
  assert.equal(word.inFlightOld, 0);
});

void test('a route that is not known is denied only while the description is known to be the newest', () => {
  const bench = new Bench([['o1', 'r1']]);
  const told = (newest: Omit<NodeAgent['configFreshness'], 'pendingGenerations'>): string => {
    bench.cabin = { ...bench.cabin, configFreshness: { ...newest, pendingGenerations: [] } };
    bench.ask('/nowhere/');
    const word = bench.told.at(-1);
    return word?.kind === 'failure' ? word.errorKind : 'none';
  };
  const generation = bench.cabin.compiledConfiguration?.generation ?? noGeneration;
  const next = toGeneration(generation + 1);
  assert.equal(told({ newestGeneration: generation, confirmedAsOf: bench.now }), 'absent');
  assert.equal(
    told({ newestGeneration: noGeneration, confirmedAsOf: undefined }),
    'unready',
    'provisional',
  );
  assert.equal(
    told({ newestGeneration: next, confirmedAsOf: bench.now }),
    'unready',
    'a newer one is known',
  );
  assert.equal(
    told({ newestGeneration: generation, confirmedAsOf: toTimestamp(bench.now - 2000) }),
    'unready',
    'out of touch',
  );
  bench.ask('/edit/1', 'POST');
  assert.equal(bench.sent.length, 1, 'known routes are served all the same');
});

/** Opens a fetch, lets a second request join it, and makes a third one start a fetch of its own. */
const withTwoFetches = (bench: Bench): void => {
  bench.ask('/clips/1');
  bench.ask('/clips/1');
  bench.line.onPurged();
  bench.ask('/clips/1');
  bench.ask('/clips/1');
  assert.equal(bench.sent.length, 2);
};

void test('a request that joined a fetch is answered by that fetch after a newer one of the same object has begun', () => {
  const bench = new Bench(two);
  withTwoFetches(bench);
  bench.answer(1, 'newer');
  assert.equal(bench.told.length, 2, 'the newer fetch answers those who wait for it');
  bench.answer(0, 'older');
  assert.equal(bench.told.length, 4, 'nobody is left without an answer');
});

void test('a fetch that began before a purge answers nobody who came after it', () => {
  const bench = new Bench(two);
  withTwoFetches(bench);
  bench.answer(0, 'older');
  assert.equal(bench.told.length, 2, 'those who came after the purge still wait');
  bench.answer(1, 'newer');
  const bodies = bench.told.map((one) => (one.kind === 'cached' ? one.entry.body.toString() : ''));
  assert.deepEqual(bodies, ['older', 'older', 'newer', 'newer']);
});

void test('a request that joined a fetch is told at its own deadline, also when a newer fetch has begun', () => {
  const bench = new Bench(two);
  withTwoFetches(bench);
  bench.pass(2000);
  assert.equal(bench.told.length, 4);
});

void test('a request whose fetch failed is sent on with what is left of its own time', () => {
  const bench = new Bench(two);
  bench.ask('/clips/1');
  bench.ask('/clips/1');
  bench.pass(700);
  const many = bench.sent.length;
  for (let at = 0; at < many; at += 1) bench.answer(at, 'gone', 404);
  const resent = bench.sent.at(-1);
  assert.ok(resent !== undefined && bench.sent.length > many);
  assert.ok(resent.order.timeoutMs <= 1300, `${resent.order.timeoutMs} ms are told to the origin`);
  bench.pass(1300);
  assert.equal(bench.told.length, 2, 'it is told at the deadline that it came with');
});

void test('a caller that leaves is noticed after its request was sent on for a fetch that failed', () => {
  const bench = new Bench(two);
  bench.ask('/clips/1');
  const leave = bench.ask('/clips/1');
  bench.answer(0, 'gone', 404);
  leave();
  bench.answer(1, 'late');
  assert.equal(bench.told.length, 1, 'nobody is told who has left');
});

void test('a stop that breaks off what is under way tells each caller and begins nothing new', () => {
  const bench = new Bench(two);
  bench.ask('/clips/1');
  bench.ask('/clips/1');
  bench.ask('/edit/1', 'POST');
  const many = bench.sent.length;
  bench.line.abortAll();
  assert.equal(bench.told.length, 3);
  assert.equal(bench.sent.length, many);
  assert.ok(bench.sent.every((one) => one.cut));
  assert.equal(bench.line.openRequests, 0);
});

void test('a question for the head of an object is neither kept as the object nor joined by those who ask for it', () => {
  const bench = new Bench(two);
  bench.ask('/clips/1', 'HEAD');
  bench.ask('/clips/1');
  assert.equal(bench.sent.length, 2, 'the object is fetched by itself');
  bench.answer(0, '');
  bench.answer(1, 'body');
  bench.ask('/clips/1');
  const bodies = bench.told.map((one) =>
    one.kind === 'cached'
      ? one.entry.body.toString()
      : one.kind === 'response'
        ? one.response.body.toString()
        : one.errorKind,
  );
  assert.deepEqual(bodies, ['', 'body', 'body']);
  bench.ask('/clips/1', 'HEAD');
  assert.equal(bench.sent.length, 2, 'a kept object answers for its head');
});

void test('a route of a description that is known to be replaced is served for a while only, then refused with a time to come back', () => {
  const bench = new Bench(two);
  bench.hearNewest(2);
  bench.ask('/edit/1', 'POST');
  assert.equal(bench.sent.length, 1, 'the new description has its time to come');
  bench.answer(0);
  for (let waited = 0; waited < applySpan; waited += 100) {
    bench.pass(100);
    bench.hearNewest(2);
  }
  bench.ask('/edit/2', 'POST');
  bench.ask('/clips/2');
  assert.equal(bench.sent.length, 1, 'nothing more is sent by the old description');
  assert.deepEqual(bench.kinds(), ['response', 'unready', 'unready']);
  const refusal = bench.told.at(-1);
  assert.ok(refusal?.kind === 'failure' && refusal.retryAfterMs > 0);
});

void test('an edge that no longer hears a registry serves on by the description it has', () => {
  const bench = new Bench(two);
  bench.hearNewest(2);
  bench.pass(3 * applySpan);
  bench.ask('/edit/1', 'POST');
  assert.equal(bench.sent.length, 1);
});

void test('what was kept by a replaced description is not told after its time either', () => {
  const bench = new Bench(two);
  bench.ask('/clips/1');
  bench.answer(0);
  bench.hearNewest(2);
  for (let waited = 0; waited < applySpan; waited += 100) {
    bench.pass(100);
    bench.hearNewest(2);
  }
  bench.ask('/clips/1');
  assert.deepEqual(bench.kinds(), ['cached', 'unready']);
});
