/** Object sharing among the routers of one zone. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  type Address,
  type Timestamp,
  type Seq,
  toAddress,
  toZoneName,
  toIncarnation,
  toTimestamp,
  toNodeId,
  toSeq,
  toServiceName,
} from '@switchwheel/types';
import type { Member, ObjectFrame } from '@switchwheel/transport';
import type { CompiledConfiguration } from '@switchwheel/configuration';
import { type NodeAgent, Cache } from '@switchwheel/proxy-core';
import { EdgeRouter } from '../router/edge-router.js';
import {
  type AttemptHandlers,
  type AttemptRequest,
  type ClientReply,
  defaultEdgeLimits,
  defaultHeaderNames,
} from '../router/ports.js';
import { compileDocument, newConfirmedEdgeAgent } from '../testing/edge-fixture.js';
import { ObjectOwners } from './object-owners.js';
import { maxSharedBytes } from './object-sharing.js';

const service = toServiceName('clips');
const host = 'one.example';
const zoneName = toZoneName('a');
const lifetimeMs = 5000;
const edgeCount = 6;
/** So low that each edge's quota share is one fetch in two seconds. */
const perSecond = 3;

const configurationOf = (generation: number): CompiledConfiguration =>
  compileDocument(
    {
      format: 1,
      classes: [{ name: 'play', share: 1 }],
      services: [{ name: service, perSecond }],
      routes: [
        {
          name: 'clip',
          host,
          prefix: '/clips/',
          service,
          class: 'play',
          cache: { lifetimeMs },
        },
        { name: 'edit', host, prefix: '/edit/', methods: ['POST'], service, class: 'play' },
      ],
    },
    generation,
  );
const configuration = configurationOf(1);

const memberAt = (at: number): Member => ({
  node: toNodeId(`e${at}`),
  role: 'edge',
  area: zoneName,
  address: toAddress(`10.0.0.${at + 1}:1`),
  incarnation: toIncarnation(1),
});
const members = Array.from({ length: edgeCount }, (_, at) => memberAt(at));

interface Fetch {
  readonly edge: Edge;
  readonly request: AttemptRequest;
  readonly handlers: AttemptHandlers;
}

/** The edges of one zone, each with its own clock; the test delivers their frames and responds to their fetches. */
class ZoneFixture {
  now = 0;
  readonly edges: readonly Edge[];
  readonly fetches: Fetch[] = [];
  /** Edges whose frames are lost in both directions. */
  readonly dead = new Set<Address>();
  readonly #wire: { readonly from: Edge; readonly to: Address; readonly frame: ObjectFrame }[] = [];

  constructor() {
    this.edges = members.map((member, at) => new Edge(this, member, 10_000 * (at + 1)));
    // A quota share is empty when it is first used, and refills from then on.
    for (const edge of this.edges) edge.ask('/edit/0', 'POST');
    this.pass(3000);
    for (const edge of this.edges) edge.replies.splice(0);
  }

  send(from: Edge, to: Address, frame: ObjectFrame): void {
    this.#wire.push({ from, to, frame });
  }

  /** Delivers all frames, also those that are sent meanwhile. */
  deliver(): void {
    for (let one = this.#wire.shift(); one !== undefined; one = this.#wire.shift()) {
      const { from, to, frame } = one;
      const target = this.edges.find((edge) => edge.member.address === to);
      if (target === undefined || this.dead.has(to) || this.dead.has(from.member.address)) continue;
      target.router.handlePeerFrame(from.member.address, frame);
    }
  }

  pass(ms: number): void {
    const end = this.now + ms;
    while (this.now < end) {
      this.now = Math.min(end, this.now + 30);
      for (const edge of this.edges) edge.tick();
      this.deliver();
    }
  }

  answer(at: number, body = 'body', status = 200): void {
    const fields: AttemptRequest['fields'] = [['cache-tag', 't1']];
    this.fetches[at]?.handlers.onResponse({
      status,
      fields,
      body: Buffer.from(body),
      isUnprocessed: false,
    });
    this.deliver();
  }

  /** The edge that owns an object, and the others. */
  split(target: string): { readonly owner: Edge; readonly others: readonly Edge[] } {
    const probe = new ZoneFixture();
    const [first] = probe.edges;
    first?.ask(target);
    probe.deliver();
    const at = probe.edges.indexOf(probe.fetches[0]?.edge ?? probe.edges[0] ?? fail());
    const owner = this.edges[at] ?? fail();
    return { owner, others: this.edges.filter((one) => one !== owner) };
  }
}

const fail = (): never => {
  throw new Error('no such edge');
};

class Edge {
  readonly replies: ClientReply[] = [];
  readonly cache = new Cache(1_000_000);
  readonly router: EdgeRouter;
  nodeAgent: NodeAgent;

  constructor(
    readonly zone: ZoneFixture,
    readonly member: Member,
    readonly clockStart: number,
  ) {
    this.nodeAgent = newConfirmedEdgeAgent({
      configuration,
      service,
      origins: [{ instance: 'o1', address: '10.0.1.1:80' }],
      slots: 64,
      now: this.now,
      member,
      members,
    });
    this.router = new EdgeRouter(
      { now: () => this.now, nodeAgent: () => this.nodeAgent },
      this.cache,
      {
        send: (request, handlers) => {
          zone.fetches.push({ edge: this, request, handlers });
          return () => undefined;
        },
        closeIdleConnections: () => undefined,
      },
      {
        zone: member.area,
        headerNames: defaultHeaderNames,
        limits: defaultEdgeLimits,
        maxActiveRequests: 100,
        peers: { send: (to, frame) => zone.send(this, to, frame) },
      },
      { seed: clockStart },
    );
    this.router.updateFleet(this.nodeAgent);
  }

  get now(): Timestamp {
    return toTimestamp(this.clockStart + this.zone.now);
  }

  tick(): void {
    const { nodeSession } = this.nodeAgent;
    const at = this.now;
    this.nodeAgent = {
      ...this.nodeAgent,
      purgesCurrentAsOf: at,
      nodeSession: { ...nodeSession, registryHeardAt: at },
    };
    this.router.tick(at);
  }

  ask(target: string, method = 'GET', fields: AttemptRequest['fields'] = []): void {
    const request = {
      id: `${this.member.node}-${this.replies.length}`,
      method,
      host,
      target,
      fields,
      body: Buffer.alloc(0),
      timeoutMs: 2000,
    };
    this.router.serve(request, (reply) => this.replies.push(reply));
  }

  purge(seq: number, path: string): void {
    const top: Seq = toSeq(seq);
    this.cache.purge([{ seq: top, aims: [{ by: 'object', host, path }] }], false, top);
    this.router.onPurged();
    this.nodeAgent = { ...this.nodeAgent, lastPurgeSeq: top };
  }

  kinds(): readonly string[] {
    return this.replies.map((reply) => (reply.kind === 'failure' ? reply.errorKind : reply.kind));
  }

  bodies(): readonly string[] {
    return this.replies.map((reply) =>
      reply.kind === 'cached' ? reply.entry.body.toString() : reply.kind,
    );
  }
}

void test('all edges of a zone that request an object get it by one fetch of its owner', () => {
  const zone = new ZoneFixture();
  for (const edge of zone.edges) edge.ask('/clips/1');
  zone.deliver();
  assert.equal(zone.fetches.length, 1);
  zone.answer(0, 'first');
  for (const edge of zone.edges) assert.deepEqual(edge.bodies(), ['first']);
  for (const edge of zone.edges) edge.ask('/clips/1');
  assert.equal(zone.fetches.length, 1, 'each of them keeps it');
  for (const edge of zone.edges) assert.deepEqual(edge.bodies(), ['first', 'first']);
});

void test('an owner fetches by the id of the first request, which the origin echoes', () => {
  const zone = new ZoneFixture();
  const { others } = zone.split('/clips/1');
  others[0]?.ask('/clips/1', 'GET', [
    ['accept', 'audio/*'],
    ['x-private', 'of the caller'],
  ]);
  zone.deliver();
  const [fetch] = zone.fetches;
  const id = fetch?.request.id;
  assert.match(id ?? '', new RegExp(`^${others[0]?.member.node}-`));
  const names = new Map(fetch?.request.fields);
  assert.equal(names.get(defaultHeaderNames.requestId), id);
  assert.equal(names.get('accept'), 'audio/*');
  assert.equal(names.has('x-private'), false);
});

void test('objects are owned by all edges, and each is fetched once', () => {
  const zone = new ZoneFixture();
  const owners = new Set<Edge>();
  for (let object = 0; object < 30; object += 1) {
    for (const edge of zone.edges) edge.ask(`/clips/${object}`);
    zone.deliver();
    assert.equal(zone.fetches.length, object + 1);
    const edge = zone.fetches.at(-1)?.edge;
    if (edge !== undefined) owners.add(edge);
    zone.answer(object);
    zone.pass(2100);
  }
  assert.equal(owners.size, edgeCount);
});

void test('a shared object is as old at every edge as it is at its owner', () => {
  const zone = new ZoneFixture();
  const { owner, others } = zone.split('/clips/1');
  owner.ask('/clips/1');
  zone.answer(0, 'old');
  zone.pass(lifetimeMs - 100);
  const [first] = others;
  first?.ask('/clips/1');
  zone.deliver();
  assert.deepEqual(first?.bodies(), ['old'], 'told while it is good');
  zone.pass(100);
  first.ask('/clips/1');
  zone.deliver();
  assert.equal(zone.fetches.length, 2, 'not told past its lifetime');
});

void test('an object that was purged after its owner fetched it is rejected by an edge that knows', () => {
  const zone = new ZoneFixture();
  const { owner, others } = zone.split('/clips/1');
  owner.ask('/clips/1');
  zone.answer(0, 'old');
  const [first, second] = others;
  first?.purge(1, '/clips/1');
  first?.ask('/clips/1');
  zone.deliver();
  assert.equal(zone.fetches.length, 2, 'it asks an origin itself');
  zone.answer(1, 'new');
  assert.deepEqual(first?.bodies(), ['new']);
  // One that does not know yet may tell it, and drops it with the purge.
  second?.ask('/clips/1');
  zone.deliver();
  second?.purge(1, '/clips/1');
  owner.purge(1, '/clips/1');
  second?.ask('/clips/1');
  zone.deliver();
  assert.equal(zone.fetches.length, 3);
  zone.answer(2, 'new');
  assert.deepEqual(second?.bodies(), ['old', 'new']);
});

void test('an owner that may lack purges shares nothing from its cache', () => {
  const zone = new ZoneFixture();
  const { owner, others } = zone.split('/clips/1');
  owner.ask('/clips/1');
  zone.answer(0, 'old');
  owner.nodeAgent = {
    ...owner.nodeAgent,
    purgesCurrentAsOf: toTimestamp(owner.now - 2 * defaultEdgeLimits.maxPurgeLagMs),
  };
  others[0]?.ask('/clips/1');
  zone.deliver();
  assert.deepEqual(others[0]?.kinds(), [], 'nothing is told from what it keeps');
});

void test('a dead owner delays one request; after that the next owner is asked', () => {
  const zone = new ZoneFixture();
  const { owner, others } = zone.split('/clips/1');
  zone.dead.add(owner.member.address);
  const [first] = others;
  first?.ask('/clips/1');
  zone.deliver();
  assert.equal(zone.fetches.length, 0);
  zone.pass(430);
  assert.equal(zone.fetches.length, 1, 'it goes on by itself');
  zone.answer(0);
  assert.deepEqual(first?.kinds(), ['cached']);
  first.ask('/clips/2');
  first.ask('/clips/3');
  zone.pass(60);
  assert.ok(zone.fetches.length >= 2);
});

void test('an owner whose quota share is used up refuses at once, and the asking edge uses its own', () => {
  const zone = new ZoneFixture();
  const { owner, others } = zone.split('/clips/1');
  // What the owner may send is spent on requests that cannot be kept.
  owner.ask('/edit/1', 'POST');
  owner.ask('/edit/2', 'POST');
  const spent = zone.fetches.length;
  const [first, second] = others;
  first?.ask('/clips/1');
  zone.deliver();
  assert.equal(zone.fetches.length, spent + 1);
  assert.equal(zone.fetches.at(-1)?.edge, first);
  second?.ask('/edit/3', 'POST');
  second?.ask('/clips/1');
  zone.deliver();
  assert.equal(
    second?.kinds().at(-1),
    'rejected',
    'without any part left it is told when to come back',
  );
});

void test('an edge that runs another configuration is refused', () => {
  const zone = new ZoneFixture();
  const { owner, others } = zone.split('/clips/1');
  owner.ask('/clips/1');
  zone.answer(0, 'by the old one');
  const [first] = others;
  assert.ok(first !== undefined);
  first.nodeAgent = { ...first.nodeAgent, compiledConfiguration: configurationOf(2) };
  first.ask('/clips/1');
  zone.deliver();
  assert.equal(zone.fetches.at(-1)?.edge, first);
});

void test('what is not an object of a cached route is never requested from another edge', () => {
  const zone = new ZoneFixture();
  const [first] = zone.edges;
  first?.ask('/edit/1', 'POST');
  assert.equal(zone.fetches.length, 1);
  zone.pass(2100);
  first?.ask('/clips/1', 'GET', [['authorization', 'x']]);
  assert.equal(zone.fetches.length, 2);
});

void test('an edge that is asked asks no other edge, whatever members it sees', () => {
  const zone = new ZoneFixture();
  const { owner, others } = zone.split('/clips/1');
  const [first] = others;
  const { nodeSession } = owner.nodeAgent;
  const seen = members.filter((one) => one !== owner.member);
  owner.nodeAgent = { ...owner.nodeAgent, nodeSession: { ...nodeSession, members: seen } };
  owner.router.updateFleet(owner.nodeAgent);
  first?.ask('/clips/1');
  zone.deliver();
  assert.equal(zone.fetches.length, 1);
  assert.equal(zone.fetches[0]?.edge, owner);
});

void test('a failure of the origin is not shared: the asking edge fetches its own response', () => {
  const zone = new ZoneFixture();
  const { others } = zone.split('/clips/1');
  others[0]?.ask('/clips/1');
  zone.deliver();
  zone.answer(0, 'no', 404);
  assert.equal(zone.fetches.length, 2);
  zone.answer(1, 'no', 404);
  assert.deepEqual(others[0]?.kinds(), ['response']);
});

void test('an object that does not fit a frame is not shared', () => {
  const zone = new ZoneFixture();
  const { others } = zone.split('/clips/1');
  others[0]?.ask('/clips/1');
  zone.deliver();
  zone.answer(0, 'x'.repeat(maxSharedBytes + 1));
  assert.equal(zone.fetches.length, 2);
  assert.equal(zone.fetches[1]?.edge, others[0]);
});

void test('an abort replies to those who wait for an owner', () => {
  const zone = new ZoneFixture();
  const { owner, others } = zone.split('/clips/1');
  zone.dead.add(owner.member.address);
  others[0]?.ask('/clips/1');
  zone.deliver();
  assert.equal(others[0]?.router.abortAll(), 1);
  assert.equal(others[0].replies.length, 1);
  zone.pass(300);
  assert.equal(zone.fetches.length, 0, 'and nothing begins later');
});

const addresses = fc.uniqueArray(fc.integer({ min: 1, max: 200 }), { minLength: 2, maxLength: 40 });

void test('when an edge goes, only the objects that it owned get another owner', () => {
  fc.assert(
    fc.property(
      addresses,
      fc.array(fc.string(), { minLength: 1, maxLength: 50 }),
      (list, objects) => {
        const all = list.map((one) => toAddress(`10.0.0.${one}:1`));
        const [gone, ...rest] = all;
        const before = new ObjectOwners(all);
        const after = new ObjectOwners(rest);
        for (const object of objects) {
          const owner = before.ownerOf(object, () => true);
          const next = after.ownerOf(object, () => true);
          assert.equal(
            next,
            owner === gone ? before.ownerOf(object, (one) => one !== gone) : owner,
          );
        }
      },
    ),
    { seed: 11 },
  );
});

void test('objects are spread evenly: no edge of twenty owns over twice its share', () => {
  const all = Array.from({ length: 20 }, (_, at) => toAddress(`10.1.0.${at + 1}:7340`));
  const owners = new ObjectOwners(all);
  const owned = new Map<Address, number>();
  const objects = 4000;
  for (let at = 0; at < objects; at += 1) {
    const owner = owners.ownerOf(JSON.stringify(['clip', host, `/clips/${at}`]), () => true);
    assert.ok(owner !== undefined);
    owned.set(owner, (owned.get(owner) ?? 0) + 1);
  }
  assert.ok(Math.max(...owned.values()) < (2 * objects) / all.length);
  assert.equal(owned.size, all.length);
});
