/** Guards the routing rules of an edge: caching, coalescing, retries, hedges, rollouts and overdue configurations. */

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

/** Router with simulated origins; the test supplies the responses and controls the clock. */
class RouterFixture {
  now: Timestamp = toTimestamp(100_000);
  readonly sent: SentAttempt[] = [];
  readonly replies: ClientReply[] = [];
  readonly cache = new Cache(1_000_000);
  nodeAgent: NodeAgent;
  readonly router: EdgeRouter;
  readonly #confirmedAt = new Map<number, Timestamp>();

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

  request(target: string, method = 'GET', fields: HeaderFields = []): () => void {
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

  advance(ms: number): void {
    this.now = toTimestamp(this.now + ms);
    this.nodeAgent = {
      ...this.nodeAgent,
      purgesCurrentAsOf: this.now,
      nodeSession: { ...this.nodeAgent.nodeSession, registryHeardAt: this.now },
    };
    this.router.tick(this.now);
  }

  /** Puts a configuration in force in which cached clips have another lifetime, and optionally a route of their own. */
  changeLifetime(lifetimeMs: number, hasNarrowRoute = false): void {
    const [clips, ...otherRoutes] = document.routes;
    const cache = { lifetimeMs };
    const narrowRoute = { ...clips, name: 'narrow', prefix: '/clips/hot/', cache };
    const routes = [
      { ...clips, ...(hasNarrowRoute ? {} : { cache }) },
      ...(hasNarrowRoute ? [narrowRoute] : []),
      ...otherRoutes,
    ];
    const compiledConfiguration = compileDocument({ ...document, routes });
    this.nodeAgent = { ...this.nodeAgent, compiledConfiguration };
  }

  /** Time at which a generation was first confirmed. */
  #confirmedSince(generation: number): Timestamp {
    const confirmedAt = this.#confirmedAt.get(generation) ?? this.now;
    this.#confirmedAt.set(generation, confirmedAt);
    return confirmedAt;
  }

  /** Delivers a heartbeat reply that confirms the newest generation. */
  confirmNewest(generation: number): void {
    const reply: FrameOf<'heartbeat-reply'> = {
      kind: 'heartbeat-reply',
      at: this.now,
      registry: toNodeId('r1'),
      incarnation: toIncarnation(1),
      epoch: toEpoch(1),
      age: toDurationMs(0),
      newest: toGeneration(generation),
      newestAge: toDurationMs(this.now - this.#confirmedSince(generation)),
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

  respond(index: number, body = 'body', status = 200, isUnprocessed = false): void {
    const response: OriginResponse = {
      status,
      fields: [
        ['cache-tag', 't1'],
        ['etag', '"1"'],
      ],
      body: Buffer.from(body),
      isUnprocessed,
    };
    this.sent[index]?.handlers.onResponse(response);
  }

  kinds(): readonly string[] {
    return this.replies.map((reply) => (reply.kind === 'failure' ? reply.errorKind : reply.kind));
  }
}

/** Maximum time between the confirmation of a configuration and its use. */
const maxApplyMs = defaultEdgeLimits.maxApplyMs;

const twoOrigins = [
  ['o1', 'r1'],
  ['o2', 'r1'],
] as const;

void test('a fetched object is served from the cache for its lifetime, or until a purge of its path or tag', () => {
  const fixture = new RouterFixture(twoOrigins);
  fixture.request('/clips/1');
  fixture.respond(0);
  fixture.request('/clips/1');
  assert.deepEqual([fixture.kinds(), fixture.sent.length], [['cached', 'cached'], 1]);
  fixture.cache.purge([{ seq: toSeq(1), aims: [{ by: 'tag', tag: 't1' }] }], false, toSeq(1));
  fixture.router.onPurged();
  fixture.nodeAgent = { ...fixture.nodeAgent, lastPurgeSeq: toSeq(1) };
  fixture.request('/clips/1');
  assert.equal(fixture.sent.length, 2);
  fixture.respond(1);
  fixture.advance(5001);
  fixture.request('/clips/1');
  assert.equal(fixture.sent.length, 3);
});

// Guards against review/6: copies that outlive a shortened lifetime.
void test('a copy is served for the lifetime of the route in force, and never for longer than that of its fetch', () => {
  const fixture = new RouterFixture(twoOrigins);
  const isServedFromCache = (): boolean => {
    const sentBefore = fixture.sent.length;
    fixture.request('/clips/1');
    return fixture.sent.length === sentBefore;
  };
  fixture.request('/clips/1');
  fixture.respond(0);
  fixture.advance(1500);
  assert.ok(isServedFromCache());
  fixture.changeLifetime(2000);
  assert.ok(isServedFromCache());
  fixture.advance(600);
  assert.ok(!isServedFromCache(), 'the copy is 2,100 ms old');
  fixture.respond(1);
  fixture.changeLifetime(60_000);
  fixture.advance(1900);
  assert.ok(isServedFromCache());
  fixture.advance(200);
  assert.ok(!isServedFromCache(), 'a longer lifetime does not prolong that of the fetch');
});

void test('a fetch that is under way when the lifetime is shortened gives no copy of the former lifetime', () => {
  const fixture = new RouterFixture(twoOrigins);
  fixture.request('/clips/1');
  fixture.changeLifetime(1000);
  fixture.request('/clips/1');
  assert.equal(fixture.sent.length, 2, 'a request under the new lifetime does not join the fetch');
  fixture.respond(1);
  fixture.respond(0);
  fixture.advance(1100);
  fixture.request('/clips/1');
  assert.equal(fixture.sent.length, 3);
});

void test('a copy of a wider route is not served on a narrower one that was added', () => {
  const fixture = new RouterFixture(twoOrigins);
  fixture.request('/clips/hot/1');
  fixture.respond(0);
  fixture.changeLifetime(1000, true);
  fixture.request('/clips/hot/1');
  assert.equal(fixture.sent.length, 2);
});

void test('a fetch that started before a purge is not cached, and later requests do not join it', () => {
  const fixture = new RouterFixture(twoOrigins);
  fixture.request('/clips/1');
  fixture.request('/clips/1');
  assert.equal(fixture.sent.length, 1, 'the second request joins the fetch of the first');
  fixture.cache.purge(
    [{ seq: toSeq(1), aims: [{ by: 'object', host, path: '/clips/1' }] }],
    false,
    toSeq(1),
  );
  fixture.router.onPurged();
  fixture.nodeAgent = { ...fixture.nodeAgent, lastPurgeSeq: toSeq(1) };
  fixture.request('/clips/1');
  assert.equal(fixture.sent.length, 2);
  fixture.respond(0, 'old');
  fixture.respond(1, 'new');
  fixture.request('/clips/1');
  assert.equal(fixture.sent.length, 2);
  const last = fixture.replies.at(-1);
  assert.ok(last?.kind === 'cached' && last.entry.body.toString() === 'new');
});

void test('the cache is not used while purges may be missing, and is used while no registry is reachable', () => {
  const fixture = new RouterFixture(twoOrigins);
  fixture.request('/clips/1');
  fixture.respond(0);
  fixture.now = toTimestamp(fixture.now + 1600);
  fixture.nodeAgent = {
    ...fixture.nodeAgent,
    nodeSession: { ...fixture.nodeAgent.nodeSession, registryHeardAt: fixture.now },
  };
  fixture.request('/clips/1');
  assert.equal(fixture.sent.length, 2, 'the purges are too old although the registry is connected');
  fixture.respond(1);
  fixture.now = toTimestamp(fixture.now + 2000);
  fixture.request('/clips/1');
  assert.equal(fixture.sent.length, 2, 'no registry is connected');
});

void test('a non-idempotent request is retried if its connection never opened, and not if the connection was reset', () => {
  const fixture = new RouterFixture(twoOrigins);
  fixture.request('/edit/1', 'POST');
  fixture.sent[0]?.handlers.onFailure(false, 'refused');
  assert.equal(fixture.sent.length, 2);
  fixture.sent[1]?.handlers.onFailure(true, 'reset');
  assert.equal(fixture.sent.length, 2);
  assert.deepEqual(fixture.kinds(), ['lost']);
});

void test('a slow idempotent request is hedged at another origin, and the slower attempt is cancelled', () => {
  const fixture = new RouterFixture(twoOrigins);
  // Extra attempts are earned by requests; a new edge has none.
  for (let index = 0; index < 40; index += 1) {
    fixture.request(`/clips/a${index}`);
    fixture.respond(index);
  }
  fixture.request('/clips/slow');
  fixture.advance(450);
  assert.equal(fixture.sent.length, 42);
  assert.notEqual(fixture.sent[41]?.request.instance, fixture.sent[40]?.request.instance);
  fixture.respond(41);
  assert.ok(fixture.sent[40]?.isCancelled);
  assert.equal(fixture.kinds().at(-1), 'cached');
});

void test('if its origin does not respond, a request fails with a timeout shortly before its deadline', () => {
  const fixture = new RouterFixture([['o1', 'r1']]);
  fixture.request('/edit/1', 'POST');
  fixture.advance(1990);
  assert.deepEqual(fixture.kinds(), ['slow']);
  assert.ok(fixture.sent[0]?.isCancelled);
});

void test('without an origin a request is rejected immediately, with a retry delay', () => {
  const fixture = new RouterFixture([]);
  fixture.request('/edit/1', 'POST');
  const reply = fixture.replies[0];
  assert.ok(reply?.kind === 'failure' && reply.errorKind === 'rejected' && reply.retryAfterMs > 0);
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

void test('a canary gets its share of requests, a failed release none and a good one all, and the counts are reported', () => {
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
    const firstAttempt = fixture.sent.length;
    for (let index = 0; index < 300; index += 1) {
      fixture.request('/edit/1', 'POST');
      fixture.respond(fixture.sent.length - 1);
    }
    const phaseAttempts = fixture.sent.slice(firstAttempt);
    shares.set(
      phase,
      phaseAttempts.filter((attempt) => attempt.request.instance === 'o2').length /
        phaseAttempts.length,
    );
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

void test('an unknown route is denied only while the configuration is confirmed as the newest', () => {
  const fixture = new RouterFixture([['o1', 'r1']]);
  assert.equal(noGeneration, 0);
  const errorKindWith = (
    newest: Omit<NodeAgent['configFreshness'], 'pendingGenerations'>,
  ): string => {
    fixture.nodeAgent = {
      ...fixture.nodeAgent,
      configFreshness: { ...newest, pendingGenerations: [] },
    };
    fixture.request('/nowhere/');
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
    'the configuration is not confirmed',
  );
  assert.equal(
    errorKindWith({ newestGeneration: next, confirmedAsOf: fixture.now }),
    'unready',
    'a newer generation is known',
  );
  assert.equal(
    errorKindWith({ newestGeneration: generation, confirmedAsOf: toTimestamp(fixture.now - 2000) }),
    'unready',
    'the confirmation is too old',
  );
  fixture.request('/edit/1', 'POST');
  assert.equal(fixture.sent.length, 1, 'known routes are still served');
});

/** Starts a fetch that a second request joins, and after a purge another one that a fourth request joins. */
const startTwoFetches = (fixture: RouterFixture): void => {
  fixture.request('/clips/1');
  fixture.request('/clips/1');
  fixture.router.onPurged();
  fixture.request('/clips/1');
  fixture.request('/clips/1');
  assert.equal(fixture.sent.length, 2);
};

void test('a request that joined a fetch gets the reply of that fetch, also when a newer fetch of the object has started', () => {
  const fixture = new RouterFixture(twoOrigins);
  startTwoFetches(fixture);
  fixture.respond(1, 'newer');
  assert.equal(fixture.replies.length, 2, 'the newer fetch answers its own waiters');
  fixture.respond(0, 'older');
  assert.equal(fixture.replies.length, 4, 'every request has a reply');
});

void test('a fetch that started before a purge serves no request that arrived after the purge', () => {
  const fixture = new RouterFixture(twoOrigins);
  startTwoFetches(fixture);
  fixture.respond(0, 'older');
  assert.equal(fixture.replies.length, 2, 'requests after the purge still wait');
  fixture.respond(1, 'newer');
  const bodies = fixture.replies.map((reply) =>
    reply.kind === 'cached' ? reply.entry.body.toString() : '',
  );
  assert.deepEqual(bodies, ['older', 'older', 'newer', 'newer']);
});

void test('a request that joined a fetch expires at its own deadline, also when a newer fetch has started', () => {
  const fixture = new RouterFixture(twoOrigins);
  startTwoFetches(fixture);
  fixture.advance(2000);
  assert.equal(fixture.replies.length, 4);
});

void test('a request whose joined fetch failed is forwarded with its own remaining time', () => {
  const fixture = new RouterFixture(twoOrigins);
  fixture.request('/clips/1');
  fixture.request('/clips/1');
  fixture.advance(700);
  const sentCount = fixture.sent.length;
  for (let index = 0; index < sentCount; index += 1) fixture.respond(index, 'gone', 404);
  const resent = fixture.sent.at(-1);
  assert.ok(resent !== undefined && fixture.sent.length > sentCount);
  assert.ok(
    resent.request.timeoutMs <= 1300,
    `${resent.request.timeoutMs} ms are sent to the origin`,
  );
  fixture.advance(1300);
  assert.equal(fixture.replies.length, 2, 'the request expires at its original deadline');
});

void test('a client that disconnects gets no reply, also after its joined fetch failed and its request was forwarded', () => {
  const fixture = new RouterFixture(twoOrigins);
  fixture.request('/clips/1');
  const disconnect = fixture.request('/clips/1');
  fixture.respond(0, 'gone', 404);
  disconnect();
  fixture.respond(1, 'late');
  assert.equal(fixture.replies.length, 1, 'no reply to the disconnected client');
});

void test('an abort replies to each client and starts no new attempts', () => {
  const fixture = new RouterFixture(twoOrigins);
  fixture.request('/clips/1');
  fixture.request('/clips/1');
  fixture.request('/edit/1', 'POST');
  const sentCount = fixture.sent.length;
  fixture.router.abortAll();
  assert.equal(fixture.replies.length, 3);
  assert.equal(fixture.sent.length, sentCount);
  assert.ok(fixture.sent.every((attempt) => attempt.isCancelled));
  assert.equal(fixture.router.openRequests, 0);
});

void test('the response to a HEAD request is not cached as the object, and GET requests do not join its fetch', () => {
  const fixture = new RouterFixture(twoOrigins);
  fixture.request('/clips/1', 'HEAD');
  fixture.request('/clips/1');
  assert.equal(fixture.sent.length, 2, 'the object is fetched separately');
  fixture.respond(0, '');
  fixture.respond(1, 'body');
  fixture.request('/clips/1');
  const bodies = fixture.replies.map((reply) =>
    reply.kind === 'cached'
      ? reply.entry.body.toString()
      : reply.kind === 'response'
        ? reply.response.body.toString()
        : reply.errorKind,
  );
  assert.deepEqual(bodies, ['', 'body', 'body']);
  fixture.request('/clips/1', 'HEAD');
  assert.equal(fixture.sent.length, 2, 'a HEAD request is served from the cached object');
});

void test('a route of a superseded configuration is served for a limited time, then refused with a retry delay', () => {
  const fixture = new RouterFixture(twoOrigins);
  fixture.confirmNewest(2);
  fixture.request('/edit/1', 'POST');
  assert.equal(fixture.sent.length, 1, 'the newer configuration is not overdue yet');
  fixture.respond(0);
  for (let waited = 0; waited < maxApplyMs; waited += 100) {
    fixture.advance(100);
    fixture.confirmNewest(2);
  }
  fixture.request('/edit/2', 'POST');
  fixture.request('/clips/2');
  assert.equal(fixture.sent.length, 1, 'no request is sent by the superseded configuration');
  assert.deepEqual(fixture.kinds(), ['response', 'unready', 'unready']);
  const refusal = fixture.replies.at(-1);
  assert.ok(refusal?.kind === 'failure' && refusal.retryAfterMs > 0);
});

void test('an edge without a registry keeps serving with its current configuration', () => {
  const fixture = new RouterFixture(twoOrigins);
  fixture.confirmNewest(2);
  fixture.advance(3 * maxApplyMs);
  fixture.request('/edit/1', 'POST');
  assert.equal(fixture.sent.length, 1);
});

void test('cached responses of a superseded configuration are refused after the time limit too', () => {
  const fixture = new RouterFixture(twoOrigins);
  fixture.request('/clips/1');
  fixture.respond(0);
  fixture.confirmNewest(2);
  for (let waited = 0; waited < maxApplyMs; waited += 100) {
    fixture.advance(100);
    fixture.confirmNewest(2);
  }
  fixture.request('/clips/1');
  assert.deepEqual(fixture.kinds(), ['cached', 'unready']);
});
