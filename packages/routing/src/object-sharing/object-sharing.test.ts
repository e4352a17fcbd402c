import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  type Address,
  type Timestamp,
  type Seq,
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
import type { Member, ObjectFrame } from '@switchwheel/transport';
import {
  type CompiledConfiguration,
  buildConfiguration,
  splitIntoChunks,
  runToCompletion,
} from '@switchwheel/configuration';
import { type NodeAgent, Cache, newNodeAgent } from '@switchwheel/proxy-core';
import { EdgeRouter } from '../router/edge-router.js';
import {
  type AttemptHandlers,
  type AttemptRequest,
  type ClientReply,
  defaultEdgeLimits,
  defaultHeaderNames,
} from '../router/ports.js';
import { ObjectOwners } from './object-owners.js';
import { maxSharedBytes } from './object-sharing.js';

const service = toServiceName('clips');
const host = 'one.example';
const area = toZoneName('a');
const lifetimeMs = 5000;
const edgeCount = 6;
/** So few that each edge's part is one fetch in two seconds. */
const perSecond = 3;

const tableOf = (generation: number): CompiledConfiguration => {
  const bundle = runToCompletion(
    splitIntoChunks({
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
    }),
  );
  assert.ok(bundle.isOk);
  const { hash, chunkHashes, chunks } = bundle.value;
  const texts = chunkHashes.map((one) => chunks.get(one) ?? '');
  const built = runToCompletion(buildConfiguration(texts, toGeneration(generation), hash));
  assert.ok(built.isOk);
  return built.value;
};
const table = tableOf(1);

const memberAt = (at: number): Member => ({
  node: toNodeId(`e${at}`),
  role: 'edge',
  area,
  address: toAddress(`10.0.0.${at + 1}:1`),
  incarnation: toIncarnation(1),
});
const members = Array.from({ length: edgeCount }, (_, at) => memberAt(at));

interface Fetch {
  readonly edge: Edge;
  readonly order: AttemptRequest;
  readonly ears: AttemptHandlers;
}

/** Edges of one area, each with a clock of its own, whose frames and fetches the test lets through. */
class Area {
  now = 0;
  readonly edges: readonly Edge[];
  readonly fetches: Fetch[] = [];
  /** Edges that hear nothing and say nothing. */
  readonly dead = new Set<Address>();
  readonly #wire: { readonly from: Edge; readonly to: Address; readonly frame: ObjectFrame }[] = [];

  constructor() {
    this.edges = members.map((member, at) => new Edge(this, member, 10_000 * (at + 1)));
    // An edge's part of the rate is empty when it is first used, and fills from then on.
    for (const edge of this.edges) edge.ask('/edit/0', 'POST');
    this.pass(3000);
    for (const edge of this.edges) edge.told.splice(0);
  }

  send(from: Edge, to: Address, frame: ObjectFrame): void {
    this.#wire.push({ from, to, frame });
  }

  /** Lets every frame arrive. */
  deliver(): void {
    for (let one = this.#wire.shift(); one !== undefined; one = this.#wire.shift()) {
      const { from, to, frame } = one;
      const target = this.edges.find((edge) => edge.member.address === to);
      if (target === undefined || this.dead.has(to) || this.dead.has(from.member.address)) continue;
      target.line.handlePeerFrame(from.member.address, frame);
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
    this.fetches[at]?.ears.onResponse({
      status,
      fields,
      body: Buffer.from(body),
      isUnprocessed: false,
    });
    this.deliver();
  }

  /** The edge that owns an object, and the others. */
  split(target: string): { readonly owner: Edge; readonly others: readonly Edge[] } {
    const probe = new Area();
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
  readonly told: ClientReply[] = [];
  readonly cache = new Cache(1_000_000);
  readonly line: EdgeRouter;
  cabin: NodeAgent;

  constructor(
    readonly area: Area,
    readonly member: Member,
    readonly clockStart: number,
  ) {
    const fresh = newNodeAgent(member, [], { seed: 3 });
    const origin = {
      service,
      instance: toInstanceId('o1'),
      address: toAddress('10.0.1.1:80'),
      release: toRelease('r1'),
      slots: 64,
      state: 'up' as const,
      lastHeardAt: this.now,
    };
    this.cabin = {
      ...fresh,
      compiledConfiguration: table,
      purgesCurrentAsOf: this.now,
      configFreshness: {
        newestGeneration: table.generation,
        confirmedAsOf: this.now,
        pendingGenerations: [],
      },
      nodeSession: {
        ...fresh.nodeSession,
        registryHeardAt: this.now,
        origins: new Map([[origin.instance, origin]]),
        members,
      },
    };
    this.line = new EdgeRouter(
      { now: () => this.now, nodeAgent: () => this.cabin },
      this.cache,
      {
        send: (order, ears) => {
          area.fetches.push({ edge: this, order, ears });
          return () => undefined;
        },
        forget: () => undefined,
      },
      {
        zone: member.area,
        headerNames: defaultHeaderNames,
        limits: defaultEdgeLimits,
        maxActiveRequests: 100,
        peers: { send: (to, frame) => area.send(this, to, frame) },
      },
      { seed: clockStart },
    );
    this.line.updateFleet(this.cabin);
  }

  get now(): Timestamp {
    return toTimestamp(this.clockStart + this.area.now);
  }

  tick(): void {
    const { nodeSession } = this.cabin;
    const at = this.now;
    this.cabin = {
      ...this.cabin,
      purgesCurrentAsOf: at,
      nodeSession: { ...nodeSession, registryHeardAt: at },
    };
    this.line.tick(at);
  }

  ask(target: string, method = 'GET', fields: AttemptRequest['fields'] = []): void {
    const call = {
      id: `${this.member.node}-${this.told.length}`,
      method,
      host,
      target,
      fields,
      body: Buffer.alloc(0),
      timeoutMs: 2000,
    };
    this.line.serve(call, (word) => this.told.push(word));
  }

  purge(seq: number, path: string): void {
    const top: Seq = toSeq(seq);
    this.cache.purge([{ seq: top, aims: [{ by: 'object', host, path }] }], false, top);
    this.line.onPurged();
    this.cabin = { ...this.cabin, lastPurgeSeq: top };
  }

  kinds(): readonly string[] {
    return this.told.map((one) => (one.kind === 'failure' ? one.errorKind : one.kind));
  }

  bodies(): readonly string[] {
    return this.told.map((one) => (one.kind === 'cached' ? one.entry.body.toString() : one.kind));
  }
}

void test('all edges of an area that ask for an object get it by one fetch of its owner', () => {
  const run = new Area();
  for (const edge of run.edges) edge.ask('/clips/1');
  run.deliver();
  assert.equal(run.fetches.length, 1);
  run.answer(0, 'first');
  for (const edge of run.edges) assert.deepEqual(edge.bodies(), ['first']);
  for (const edge of run.edges) edge.ask('/clips/1');
  assert.equal(run.fetches.length, 1, 'each of them keeps it');
  for (const edge of run.edges) assert.deepEqual(edge.bodies(), ['first', 'first']);
});

void test('an owner fetches by the id of the request that asked first, which the origin echoes', () => {
  const run = new Area();
  const { others } = run.split('/clips/1');
  others[0]?.ask('/clips/1', 'GET', [
    ['accept', 'audio/*'],
    ['x-private', 'of the caller'],
  ]);
  run.deliver();
  const [fetch] = run.fetches;
  const id = fetch?.order.id;
  assert.match(id ?? '', new RegExp(`^${others[0]?.member.node}-`));
  const names = new Map(fetch?.order.fields);
  assert.equal(names.get(defaultHeaderNames.requestId), id);
  assert.equal(names.get('accept'), 'audio/*');
  assert.equal(names.has('x-private'), false);
});

void test('objects are owned by all edges in turn, and each is fetched once', () => {
  const run = new Area();
  const owners = new Set<Edge>();
  for (let object = 0; object < 30; object += 1) {
    for (const edge of run.edges) edge.ask(`/clips/${object}`);
    run.deliver();
    assert.equal(run.fetches.length, object + 1);
    const edge = run.fetches.at(-1)?.edge;
    if (edge !== undefined) owners.add(edge);
    run.answer(object);
    run.pass(2100);
  }
  assert.equal(owners.size, edgeCount);
});

void test('a shared object is as old at every edge as it is at its owner', () => {
  const run = new Area();
  const { owner, others } = run.split('/clips/1');
  owner.ask('/clips/1');
  run.answer(0, 'old');
  run.pass(lifetimeMs - 100);
  const [first] = others;
  first?.ask('/clips/1');
  run.deliver();
  assert.deepEqual(first?.bodies(), ['old'], 'told while it is good');
  run.pass(100);
  first.ask('/clips/1');
  run.deliver();
  assert.equal(run.fetches.length, 2, 'not told past its lifetime');
});

void test('an object that was purged after its owner fetched it is not taken by an edge that knows', () => {
  const run = new Area();
  const { owner, others } = run.split('/clips/1');
  owner.ask('/clips/1');
  run.answer(0, 'old');
  const [first, second] = others;
  first?.purge(1, '/clips/1');
  first?.ask('/clips/1');
  run.deliver();
  assert.equal(run.fetches.length, 2, 'it asks an origin itself');
  run.answer(1, 'new');
  assert.deepEqual(first?.bodies(), ['new']);
  // One that does not know yet may tell it, and drops it with the purge.
  second?.ask('/clips/1');
  run.deliver();
  second?.purge(1, '/clips/1');
  owner.purge(1, '/clips/1');
  second?.ask('/clips/1');
  run.deliver();
  assert.equal(run.fetches.length, 3);
  run.answer(2, 'new');
  assert.deepEqual(second?.bodies(), ['old', 'new']);
});

void test('an owner that may lack purges tells nothing that it keeps', () => {
  const run = new Area();
  const { owner, others } = run.split('/clips/1');
  owner.ask('/clips/1');
  run.answer(0, 'old');
  owner.cabin = {
    ...owner.cabin,
    purgesCurrentAsOf: toTimestamp(owner.now - 2 * defaultEdgeLimits.maxPurgeLagMs),
  };
  others[0]?.ask('/clips/1');
  run.deliver();
  assert.deepEqual(others[0]?.kinds(), [], 'nothing is told from what it keeps');
});

void test('a dead owner costs its askers a moment once; then the next one in line is asked', () => {
  const run = new Area();
  const { owner, others } = run.split('/clips/1');
  run.dead.add(owner.member.address);
  const [first] = others;
  first?.ask('/clips/1');
  run.deliver();
  assert.equal(run.fetches.length, 0);
  run.pass(430);
  assert.equal(run.fetches.length, 1, 'it goes on by itself');
  run.answer(0);
  assert.deepEqual(first?.kinds(), ['cached']);
  first.ask('/clips/2');
  first.ask('/clips/3');
  run.pass(60);
  assert.ok(run.fetches.length >= 2);
});

void test('an owner whose part is used up refuses at once, and the asker uses its own part', () => {
  const run = new Area();
  const { owner, others } = run.split('/clips/1');
  // What the owner may send is spent on requests that cannot be kept.
  owner.ask('/edit/1', 'POST');
  owner.ask('/edit/2', 'POST');
  const spent = run.fetches.length;
  const [first, second] = others;
  first?.ask('/clips/1');
  run.deliver();
  assert.equal(run.fetches.length, spent + 1);
  assert.equal(run.fetches.at(-1)?.edge, first);
  second?.ask('/edit/3', 'POST');
  second?.ask('/clips/1');
  run.deliver();
  assert.equal(
    second?.kinds().at(-1),
    'rejected',
    'without any part left it is told when to come back',
  );
});

void test('an edge that runs another description is refused', () => {
  const run = new Area();
  const { owner, others } = run.split('/clips/1');
  owner.ask('/clips/1');
  run.answer(0, 'by the old one');
  const [first] = others;
  assert.ok(first !== undefined);
  first.cabin = { ...first.cabin, compiledConfiguration: tableOf(2) };
  first.ask('/clips/1');
  run.deliver();
  assert.equal(run.fetches.at(-1)?.edge, first);
});

void test('what is not an object of a kept route is never asked of another edge', () => {
  const run = new Area();
  const [first] = run.edges;
  first?.ask('/edit/1', 'POST');
  assert.equal(run.fetches.length, 1);
  run.pass(2100);
  first?.ask('/clips/1', 'GET', [['authorization', 'x']]);
  assert.equal(run.fetches.length, 2);
});

void test('an asked edge asks nobody else, whatever members it sees', () => {
  const run = new Area();
  const { owner, others } = run.split('/clips/1');
  const [first] = others;
  const { nodeSession } = owner.cabin;
  const seen = members.filter((one) => one !== owner.member);
  owner.cabin = { ...owner.cabin, nodeSession: { ...nodeSession, members: seen } };
  owner.line.updateFleet(owner.cabin);
  first?.ask('/clips/1');
  run.deliver();
  assert.equal(run.fetches.length, 1);
  assert.equal(run.fetches[0]?.edge, owner);
});

void test('a failure of the origin is not shared: the asker has its own answer', () => {
  const run = new Area();
  const { others } = run.split('/clips/1');
  others[0]?.ask('/clips/1');
  run.deliver();
  run.answer(0, 'no', 404);
  assert.equal(run.fetches.length, 2);
  run.answer(1, 'no', 404);
  assert.deepEqual(others[0]?.kinds(), ['response']);
});

void test('an object that does not fit a frame is not shared', () => {
  const run = new Area();
  const { others } = run.split('/clips/1');
  others[0]?.ask('/clips/1');
  run.deliver();
  run.answer(0, 'x'.repeat(maxSharedBytes + 1));
  assert.equal(run.fetches.length, 2);
  assert.equal(run.fetches[1]?.edge, others[0]);
});

void test('a stop tells those who wait for an owner', () => {
  const run = new Area();
  const { owner, others } = run.split('/clips/1');
  run.dead.add(owner.member.address);
  others[0]?.ask('/clips/1');
  run.deliver();
  assert.equal(others[0]?.line.abortAll(), 1);
  assert.equal(others[0].told.length, 1);
  run.pass(300);
  assert.equal(run.fetches.length, 0, 'and nothing begins later');
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

void test('objects are spread evenly: no edge of twenty owns over twice its part', () => {
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
