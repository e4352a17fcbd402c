/** The router with a clock and origins that the test controls. */

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
  toTimestamp,
  toNodeId,
  toRelease,
  toSeq,
  toServiceName,
  toDurationMs,
} from '@switchwheel/types';
import type { HeaderFields, FrameOf, RolloutState } from '@switchwheel/transport';
import { type NodeAgent, Cache, nodeAgentTransition } from '@switchwheel/proxy-core';
import type { OriginResponse } from '../attempt-state/attempt-state.js';
import { compileDocument, newConfirmedEdgeAgent } from '../testing/edge-fixture.js';
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
const document = {
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

interface SentAttempt {
  readonly request: AttemptRequest;
  readonly handlers: AttemptHandlers;
  isCancelled: boolean;
}

/** A router with origins whose responses the test gives. */
class RouterFixture {
  now: Timestamp = toTimestamp(100_000);
  readonly sent: SentAttempt[] = [];
  readonly replies: ClientReply[] = [];
  readonly cache = new Cache(1_000_000);
  nodeAgent: NodeAgent;
  readonly router: EdgeRouter;
  readonly #confirmed = new Map<number, Timestamp>();

  constructor(origins: readonly (readonly [string, string])[]) {
    this.nodeAgent = newConfirmedEdgeAgent({
      configuration: compileDocument(document),
      service,
      origins: origins.map(([instance, release], index) => ({
        instance,
        address: `10.0.1.${index + 1}:80`,
        release,
      })),
      slots: 4,
      now: this.now,
    });
    const originClient = {
      send: (request: AttemptRequest, handlers: AttemptHandlers) => {
        const attempt: SentAttempt = { request, handlers, isCancelled: false };
        this.sent.push(attempt);
        return () => {
          attempt.isCancelled = true;
        };
      },
      closeIdleConnections: () => undefined,
    };
    this.router = new EdgeRouter(
      { now: () => this.now, nodeAgent: () => this.nodeAgent },
      this.cache,
      originClient,
      {
        zone: toZoneName('a'),
        headerNames: defaultHeaderNames,
        limits: defaultEdgeLimits,
        maxActiveRequests: 100,
      },
      { seed: 7 },
    );
    this.router.updateFleet(this.nodeAgent);
  }

  ask(target: string, method = 'GET', fields: HeaderFields = []): () => void {
    const request: IncomingRequest = {
      id: `t${this.replies.length}`,
      method,
      host,
      target,
      fields,
      body: Buffer.alloc(0),
      timeoutMs: 2000,
    };
    return this.router.serve(request, (reply) => this.replies.push(reply));
  }

  pass(ms: number): void {
    this.now = toTimestamp(this.now + ms);
    this.nodeAgent = {
      ...this.nodeAgent,
      purgesCurrentAsOf: this.now,
      nodeSession: { ...this.nodeAgent.nodeSession, registryHeardAt: this.now },
    };
    this.router.tick(this.now);
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
    this.nodeAgent = nodeAgentTransition(this.nodeAgent, {
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
    this.sent[at]?.handlers.onResponse(answer);
  }

  kinds(): readonly string[] {
    return this.replies.map((reply) => (reply.kind === 'failure' ? reply.errorKind : reply.kind));
  }
}

/** How long a confirmed configuration may take to be in force, by the limits of these tests. */
const maxApplyMs = defaultEdgeLimits.maxApplyMs;

const twoOrigins = [
  ['o1', 'r1'],
  ['o2', 'r1'],
] as const;

void test('a fetched object is served from the cache for its lifetime, or until a purge of its path or tag', () => {
  const fixture = new RouterFixture(twoOrigins);
  fixture.ask('/clips/1');
  fixture.answer(0);
  fixture.ask('/clips/1');
  assert.deepEqual([fixture.kinds(), fixture.sent.length], [['cached', 'cached'], 1]);
  fixture.cache.purge([{ seq: toSeq(1), aims: [{ by: 'tag', tag: 't1' }] }], false, toSeq(1));
  fixture.router.onPurged();
  fixture.nodeAgent = { ...fixture.nodeAgent, lastPurgeSeq: toSeq(1) };
  fixture.ask('/clips/1');
  assert.equal(fixture.sent.length, 2);
  fixture.answer(1);
  fixture.pass(5001);
  fixture.ask('/clips/1');
  assert.equal(fixture.sent.length, 3);
});

void test('a fetch that began before a purge is not cached, and later requests do not join it', () => {
  const fixture = new RouterFixture(twoOrigins);
  fixture.ask('/clips/1');
  fixture.ask('/clips/1');
  assert.equal(fixture.sent.length, 1, 'the second waits for the first');
  fixture.cache.purge(
    [{ seq: toSeq(1), aims: [{ by: 'object', host, path: '/clips/1' }] }],
    false,
    toSeq(1),
  );
  fixture.router.onPurged();
  fixture.nodeAgent = { ...fixture.nodeAgent, lastPurgeSeq: toSeq(1) };
  fixture.ask('/clips/1');
  assert.equal(fixture.sent.length, 2);
  fixture.answer(0, 'old');
  fixture.answer(1, 'new');
  fixture.ask('/clips/1');
  assert.equal(fixture.sent.length, 2);
  const last = fixture.replies.at(-1);
  assert.ok(last?.kind === 'cached' && last.entry.body.toString() === 'new');
});

void test('nothing is served from the cache while purges may be missing, and all is when no registry is reachable', () => {
  const fixture = new RouterFixture(twoOrigins);
  fixture.ask('/clips/1');
  fixture.answer(0);
  fixture.now = toTimestamp(fixture.now + 1600);
  fixture.nodeAgent = {
    ...fixture.nodeAgent,
    nodeSession: { ...fixture.nodeAgent.nodeSession, registryHeardAt: fixture.now },
  };
  fixture.ask('/clips/1');
  assert.equal(fixture.sent.length, 2, 'its registry has no fresh word');
  fixture.answer(1);
  fixture.now = toTimestamp(fixture.now + 2000);
  fixture.ask('/clips/1');
  assert.equal(fixture.sent.length, 2, 'no registry is heard at all');
});

void test('a non-idempotent request is retried if its connection never opened, and not if it broke', () => {
  const fixture = new RouterFixture(twoOrigins);
  fixture.ask('/edit/1', 'POST');
  fixture.sent[0]?.handlers.onFailure(false, 'refused');
  assert.equal(fixture.sent.length, 2);
  fixture.sent[1]?.handlers.onFailure(true, 'reset');
  assert.equal(fixture.sent.length, 2);
  assert.deepEqual(fixture.kinds(), ['lost']);
});

void test('a late idempotent request is hedged at another origin, and the loser is cancelled', () => {
  const fixture = new RouterFixture(twoOrigins);
  // Requests earn extra attempts; a new edge has none.
  for (let at = 0; at < 40; at += 1) {
    fixture.ask(`/clips/a${at}`);
    fixture.answer(at);
  }
  fixture.ask('/clips/slow');
  fixture.pass(450);
  assert.equal(fixture.sent.length, 42);
  assert.notEqual(fixture.sent[41]?.request.instance, fixture.sent[40]?.request.instance);
  fixture.answer(41);
  assert.ok(fixture.sent[40]?.isCancelled);
  assert.equal(fixture.kinds().at(-1), 'cached');
});

void test('a silent origin ends in a time-out reply shortly before the deadline of its client', () => {
  const fixture = new RouterFixture([['o1', 'r1']]);
  fixture.ask('/edit/1', 'POST');
  fixture.pass(1990);
  assert.deepEqual(fixture.kinds(), ['slow']);
  assert.ok(fixture.sent[0]?.isCancelled);
});

void test('without an origin the reply comes at once, with a time to retry', () => {
  const fixture = new RouterFixture([]);
  fixture.ask('/edit/1', 'POST');
  const told = fixture.replies[0];
  assert.ok(told?.kind === 'failure' && told.errorKind === 'rejected' && told.retryAfterMs > 0);
});

const rolloutIn = (phase: RolloutState['phase'], share: number): RolloutState => ({
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

void test('a canary gets its share, a failed release nothing, a good one all; the counts are reported', () => {
  const fixture = new RouterFixture([
    ['o1', 'r1'],
    ['o2', 'r2'],
  ]);
  const shares = new Map<string, number>();
  for (const [phase, share] of [
    ['trial', 0.1],
    ['bad', 0],
    ['good', 0],
  ] as const) {
    fixture.nodeAgent = {
      ...fixture.nodeAgent,
      releaseStates: new Map([[service, rolloutIn(phase, share)]]),
      releaseStatesAt: fixture.now,
    };
    fixture.router.updateFleet(fixture.nodeAgent);
    const from = fixture.sent.length;
    for (let at = 0; at < 300; at += 1) {
      fixture.ask('/edit/1', 'POST');
      fixture.answer(fixture.sent.length - 1);
    }
    const fresh = fixture.sent.slice(from);
    shares.set(phase, fresh.filter((one) => one.request.instance === 'o2').length / fresh.length);
  }
  assert.ok(
    (shares.get('trial') ?? 0) > 0.04 && (shares.get('trial') ?? 0) < 0.17,
    String(shares.get('trial')),
  );
  assert.equal(shares.get('bad'), 0);
  assert.equal(shares.get('good'), 1);
  const [report] = fixture.router.rolloutReports(fixture.nodeAgent);
  assert.ok(report !== undefined);
  assert.equal(
    report.rows.reduce((sum, row) => sum + row.sent, 0),
    900,
  );
  assert.equal(report.inFlightOld, 0);
});

void test('an unknown route is denied only while the configuration is known to be the newest', () => {
  const fixture = new RouterFixture([['o1', 'r1']]);
  assert.equal(noGeneration, 0);
  const errorKindWith = (
    newest: Omit<NodeAgent['configFreshness'], 'pendingGenerations'>,
  ): string => {
    fixture.nodeAgent = {
      ...fixture.nodeAgent,
      configFreshness: { ...newest, pendingGenerations: [] },
    };
    fixture.ask('/nowhere/');
    const reply = fixture.replies.at(-1);
    return reply?.kind === 'failure' ? reply.errorKind : 'none';
  };
  const generation = fixture.nodeAgent.compiledConfiguration?.generation ?? noGeneration;
  const next = toGeneration(generation + 1);
  assert.equal(
    errorKindWith({ newestGeneration: generation, confirmedAsOf: fixture.now }),
    'absent',
  );
  assert.equal(
    errorKindWith({ newestGeneration: noGeneration, confirmedAsOf: undefined }),
    'unready',
    'provisional',
  );
  assert.equal(
    errorKindWith({ newestGeneration: next, confirmedAsOf: fixture.now }),
    'unready',
    'a newer one is known',
  );
  assert.equal(
    errorKindWith({ newestGeneration: generation, confirmedAsOf: toTimestamp(fixture.now - 2000) }),
    'unready',
    'out of touch',
  );
  fixture.ask('/edit/1', 'POST');
  assert.equal(fixture.sent.length, 1, 'known routes are served all the same');
});

/** Begins a fetch that a second request joins, and after a purge another one that a fourth request joins. */
const withTwoFetches = (fixture: RouterFixture): void => {
  fixture.ask('/clips/1');
  fixture.ask('/clips/1');
  fixture.router.onPurged();
  fixture.ask('/clips/1');
  fixture.ask('/clips/1');
  assert.equal(fixture.sent.length, 2);
};

void test('a request that joined a fetch gets its reply from that fetch after a newer one of the same object has begun', () => {
  const fixture = new RouterFixture(twoOrigins);
  withTwoFetches(fixture);
  fixture.answer(1, 'newer');
  assert.equal(fixture.replies.length, 2, 'the newer fetch answers those who wait for it');
  fixture.answer(0, 'older');
  assert.equal(fixture.replies.length, 4, 'nobody is left without an answer');
});

void test('a fetch that began before a purge serves no request that came after it', () => {
  const fixture = new RouterFixture(twoOrigins);
  withTwoFetches(fixture);
  fixture.answer(0, 'older');
  assert.equal(fixture.replies.length, 2, 'those who came after the purge still wait');
  fixture.answer(1, 'newer');
  const bodies = fixture.replies.map((one) =>
    one.kind === 'cached' ? one.entry.body.toString() : '',
  );
  assert.deepEqual(bodies, ['older', 'older', 'newer', 'newer']);
});

void test('a request that joined a fetch gets its reply at its own deadline, also when a newer fetch has begun', () => {
  const fixture = new RouterFixture(twoOrigins);
  withTwoFetches(fixture);
  fixture.pass(2000);
  assert.equal(fixture.replies.length, 4);
});

void test('a request whose fetch failed is forwarded with what is left of its own time', () => {
  const fixture = new RouterFixture(twoOrigins);
  fixture.ask('/clips/1');
  fixture.ask('/clips/1');
  fixture.pass(700);
  const many = fixture.sent.length;
  for (let at = 0; at < many; at += 1) fixture.answer(at, 'gone', 404);
  const resent = fixture.sent.at(-1);
  assert.ok(resent !== undefined && fixture.sent.length > many);
  assert.ok(
    resent.request.timeoutMs <= 1300,
    `${resent.request.timeoutMs} ms are told to the origin`,
  );
  fixture.pass(1300);
  assert.equal(fixture.replies.length, 2, 'it is told at the deadline that it came with');
});

void test('a client that leaves is noticed after its request was forwarded for a fetch that failed', () => {
  const fixture = new RouterFixture(twoOrigins);
  fixture.ask('/clips/1');
  const leave = fixture.ask('/clips/1');
  fixture.answer(0, 'gone', 404);
  leave();
  fixture.answer(1, 'late');
  assert.equal(fixture.replies.length, 1, 'nobody is told who has left');
});

void test('an abort replies to each client and begins nothing new', () => {
  const fixture = new RouterFixture(twoOrigins);
  fixture.ask('/clips/1');
  fixture.ask('/clips/1');
  fixture.ask('/edit/1', 'POST');
  const many = fixture.sent.length;
  fixture.router.abortAll();
  assert.equal(fixture.replies.length, 3);
  assert.equal(fixture.sent.length, many);
  assert.ok(fixture.sent.every((one) => one.isCancelled));
  assert.equal(fixture.router.openRequests, 0);
});

void test('a HEAD request is neither cached as the object nor joined by requests for it', () => {
  const fixture = new RouterFixture(twoOrigins);
  fixture.ask('/clips/1', 'HEAD');
  fixture.ask('/clips/1');
  assert.equal(fixture.sent.length, 2, 'the object is fetched by itself');
  fixture.answer(0, '');
  fixture.answer(1, 'body');
  fixture.ask('/clips/1');
  const bodies = fixture.replies.map((one) =>
    one.kind === 'cached'
      ? one.entry.body.toString()
      : one.kind === 'response'
        ? one.response.body.toString()
        : one.errorKind,
  );
  assert.deepEqual(bodies, ['', 'body', 'body']);
  fixture.ask('/clips/1', 'HEAD');
  assert.equal(fixture.sent.length, 2, 'a kept object answers for its head');
});

void test('a route of a replaced configuration is served for a while only, then refused with a time to retry', () => {
  const fixture = new RouterFixture(twoOrigins);
  fixture.hearNewest(2);
  fixture.ask('/edit/1', 'POST');
  assert.equal(fixture.sent.length, 1, 'the new description has its time to come');
  fixture.answer(0);
  for (let waited = 0; waited < maxApplyMs; waited += 100) {
    fixture.pass(100);
    fixture.hearNewest(2);
  }
  fixture.ask('/edit/2', 'POST');
  fixture.ask('/clips/2');
  assert.equal(fixture.sent.length, 1, 'nothing more is sent by the old description');
  assert.deepEqual(fixture.kinds(), ['response', 'unready', 'unready']);
  const refusal = fixture.replies.at(-1);
  assert.ok(refusal?.kind === 'failure' && refusal.retryAfterMs > 0);
});

void test('an edge without a registry serves on by the configuration it has', () => {
  const fixture = new RouterFixture(twoOrigins);
  fixture.hearNewest(2);
  fixture.pass(3 * maxApplyMs);
  fixture.ask('/edit/1', 'POST');
  assert.equal(fixture.sent.length, 1);
});

void test('nothing is served from the cache of a replaced configuration after that time either', () => {
  const fixture = new RouterFixture(twoOrigins);
  fixture.ask('/clips/1');
  fixture.answer(0);
  fixture.hearNewest(2);
  for (let waited = 0; waited < maxApplyMs; waited += 100) {
    fixture.pass(100);
    fixture.hearNewest(2);
  }
  fixture.ask('/clips/1');
  assert.deepEqual(fixture.kinds(), ['cached', 'unready']);
});
