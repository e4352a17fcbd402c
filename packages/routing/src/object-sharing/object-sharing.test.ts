/** Guards object sharing between the edges of a zone: ownership, age, purges, unresponsive owners and refusals. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { type Address, toAddress, toServiceName, toTimestamp } from '@switchwheel/types';
import type { CompiledConfiguration } from '@switchwheel/configuration';
import { defaultEdgeLimits, defaultHeaderNames } from '../router/ports.js';
import { compileDocument } from '../testing/edge-fixture.js';
import { type FleetEdge, FleetFixture } from '../testing/fleet-fixture.js';
import { ObjectOwners } from './object-owners.js';
import { maxSharedBytes } from './object-sharing.js';

const service = toServiceName('clips');
const host = 'one.example';
const lifetimeMs = 5000;
const edgeCount = 6;
/** Rate limit of the service; each edge's quota share is one fetch in two seconds. */
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

/** Edges of one zone; the test delivers their frames and responds to their fetches. */
class ZoneFixture extends FleetFixture {
  constructor() {
    super({
      configuration,
      service,
      host,
      zones: ['a'],
      edgesPerZone: edgeCount,
      origins: [{ instance: 'o1', address: '10.0.1.1:80' }],
    });
    // A quota share is empty when it is first used, and refills from then on.
    for (const edge of this.edges) edge.request('/edit/0', 'POST');
    this.advance(3000);
    for (const edge of this.edges) edge.replies.splice(0);
  }

  /** Returns the owner of an object and the other edges. */
  ownerAndOthers(target: string): OwnerAndOthers {
    const probe = new ZoneFixture();
    const [requester] = probe.edges;
    requester?.request(target);
    probe.deliver();
    const ownerIndex = probe.edges.indexOf(
      probe.fetches[0]?.edge ?? probe.edges[0] ?? throwMissingEdge(),
    );
    const owner = this.edges[ownerIndex] ?? throwMissingEdge();
    return { owner, others: this.edges.filter((edge) => edge !== owner) };
  }
}

interface OwnerAndOthers {
  readonly owner: FleetEdge;
  readonly others: readonly FleetEdge[];
}

/** Targets of objects that an edge owns. */
const targetsOwnedBy = (zone: ZoneFixture, owner: FleetEdge): readonly string[] =>
  Array.from({ length: 40 }, (_, index) => `/clips/${index + 1}`).filter(
    (target) => zone.ownerAndOthers(target).owner === owner,
  );

const throwMissingEdge = (): never => {
  throw new Error('the zone fixture has no edge that owns the requested object');
};

void test('all edges of a zone that request an object get it from a single fetch by its owner', () => {
  const zone = new ZoneFixture();
  for (const edge of zone.edges) edge.request('/clips/1');
  zone.deliver();
  assert.equal(zone.fetches.length, 1);
  zone.respond(0, 'first');
  for (const edge of zone.edges) assert.deepEqual(edge.bodies(), ['first']);
  for (const edge of zone.edges) edge.request('/clips/1');
  assert.equal(zone.fetches.length, 1, 'each edge caches the object');
  for (const edge of zone.edges) assert.deepEqual(edge.bodies(), ['first', 'first']);
});

void test('an owner fetches with the id of the first request and forwards only fields on which the response may depend', () => {
  const zone = new ZoneFixture();
  const { others } = zone.ownerAndOthers('/clips/1');
  others[0]?.request('/clips/1', 'GET', [
    ['accept', 'audio/*'],
    ['x-private', 'private value'],
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

void test('ownership is spread over all edges, and each object is fetched once', () => {
  const zone = new ZoneFixture();
  const owners = new Set<FleetEdge>();
  for (let object = 0; object < 30; object += 1) {
    for (const edge of zone.edges) edge.request(`/clips/${object}`);
    zone.deliver();
    assert.equal(zone.fetches.length, object + 1);
    const edge = zone.fetches.at(-1)?.edge;
    if (edge !== undefined) owners.add(edge);
    zone.respond(object);
    zone.advance(2100);
  }
  assert.equal(owners.size, edgeCount);
});

void test('a shared object expires at the same time at every edge as at its owner', () => {
  const zone = new ZoneFixture();
  const { owner, others } = zone.ownerAndOthers('/clips/1');
  owner.request('/clips/1');
  zone.respond(0, 'old');
  zone.advance(lifetimeMs - 100);
  const [requester] = others;
  requester?.request('/clips/1');
  zone.deliver();
  assert.deepEqual(requester?.bodies(), ['old'], 'shared within its lifetime');
  zone.advance(100);
  requester.request('/clips/1');
  zone.deliver();
  assert.equal(zone.fetches.length, 2, 'not shared after its lifetime');
});

void test('an edge that has applied a purge rejects an object that its owner fetched before the purge', () => {
  const zone = new ZoneFixture();
  const { owner, others } = zone.ownerAndOthers('/clips/1');
  owner.request('/clips/1');
  zone.respond(0, 'old');
  const [requester, otherRequester] = others;
  requester?.purge(1, '/clips/1');
  requester?.request('/clips/1');
  zone.deliver();
  assert.equal(zone.fetches.length, 2, 'the edge sends the request to an origin itself');
  zone.respond(1, 'new');
  assert.deepEqual(requester?.bodies(), ['new']);
  // An edge that has not applied the purge yet may serve the object, and removes it with the purge.
  otherRequester?.request('/clips/1');
  zone.deliver();
  otherRequester?.purge(1, '/clips/1');
  owner.purge(1, '/clips/1');
  otherRequester?.request('/clips/1');
  zone.deliver();
  assert.equal(zone.fetches.length, 3);
  zone.respond(2, 'new');
  assert.deepEqual(otherRequester?.bodies(), ['old', 'new']);
});

void test('an owner that may have missed purges shares nothing from its cache', () => {
  const zone = new ZoneFixture();
  const { owner, others } = zone.ownerAndOthers('/clips/1');
  owner.request('/clips/1');
  zone.respond(0, 'old');
  owner.nodeAgent = {
    ...owner.nodeAgent,
    purgesCurrentAsOf: toTimestamp(owner.now - 2 * defaultEdgeLimits.maxPurgeLagMs),
  };
  others[0]?.request('/clips/1');
  zone.deliver();
  assert.deepEqual(others[0]?.kinds(), [], 'nothing is shared from its cache');
});

void test('an unresponsive owner delays one request; later requests go to the next owner', () => {
  const zone = new ZoneFixture();
  const { owner, others } = zone.ownerAndOthers('/clips/1');
  zone.unreachable.add(owner.member.address);
  const [requester] = others;
  requester?.request('/clips/1');
  zone.deliver();
  assert.equal(zone.fetches.length, 0);
  zone.advance(430);
  assert.equal(zone.fetches.length, 1, 'the edge sends the request to an origin itself');
  zone.respond(0);
  assert.deepEqual(requester?.kinds(), ['cached']);
  requester.request('/clips/2');
  requester.request('/clips/3');
  zone.advance(60);
  assert.ok(zone.fetches.length >= 2);
});

void test('a request whose owner is late waits for it if no retry budget is left', () => {
  const zone = new ZoneFixture();
  const { owner, others } = zone.ownerAndOthers('/clips/1');
  const [requester] = others;
  assert.ok(requester !== undefined);
  zone.unreachable.add(owner.member.address);
  for (const target of targetsOwnedBy(zone, owner)) requester.request(target);
  zone.advance(450);
  assert.ok(!requester.kinds().includes('lost'), 'not given up while the reply may still come');
});

void test('a request to an owner whose channel can not be established goes to an origin at once', () => {
  const zone = new ZoneFixture();
  const { owner, others } = zone.ownerAndOthers('/clips/1');
  const [requester] = others;
  assert.ok(requester !== undefined);
  zone.unreachable.add(owner.member.address);
  requester.request('/clips/1');
  zone.deliver();
  requester.router.handlePeerDisconnect(owner.member.address, false);
  assert.equal(zone.fetches.length, 1);
  assert.equal(zone.fetches[0]?.edge, requester);
  assert.equal(requester.router.counts.get('budget'), undefined);
});

void test('an owner that is late with one reply but was heard since is asked for the next object', () => {
  const zone = new ZoneFixture();
  const { owner, others } = zone.ownerAndOthers('/clips/1');
  const [requester] = others;
  assert.ok(requester !== undefined);
  zone.unreachable.add(owner.member.address);
  requester.request('/clips/1');
  zone.deliver();
  zone.unreachable.delete(owner.member.address);
  const connection = { address: owner.member.address, send: () => true };
  requester.router.handlePeerFrame(connection, {
    kind: 'object-status',
    id: 1_000,
    state: 'refused',
  });
  zone.advance(450);
  const fetchCount = zone.fetches.length;
  const [nextTarget] = targetsOwnedBy(zone, owner).filter((target) => target !== '/clips/1');
  requester.request(nextTarget ?? '');
  zone.deliver();
  assert.equal(zone.fetches[fetchCount]?.edge, owner);
});

void test('an owner whose quota share is used up refuses immediately, and the requesting edge uses its own share', () => {
  const zone = new ZoneFixture();
  const { owner, others } = zone.ownerAndOthers('/clips/1');
  // Uses up the owner's quota share with requests that can't be cached.
  owner.request('/edit/1', 'POST');
  owner.request('/edit/2', 'POST');
  const fetchCount = zone.fetches.length;
  const [requester, otherRequester] = others;
  requester?.request('/clips/1');
  zone.deliver();
  assert.equal(zone.fetches.length, fetchCount + 1);
  assert.equal(zone.fetches.at(-1)?.edge, requester);
  otherRequester?.request('/edit/3', 'POST');
  otherRequester?.request('/clips/1');
  zone.deliver();
  assert.equal(
    otherRequester?.kinds().at(-1),
    'rejected',
    'with no quota share left the request is rejected',
  );
});

void test('an edge that stops refuses requests of other edges, which would be cut when it ends', () => {
  const zone = new ZoneFixture();
  const { owner, others } = zone.ownerAndOthers('/clips/1');
  owner.router.stopServingPeers();
  const [requester] = others;
  requester?.request('/clips/1');
  zone.deliver();
  assert.equal(owner.router.openRequests, 0);
  assert.equal(zone.fetches.at(-1)?.edge, requester);
  assert.equal(requester?.router.counts.get('budget'), undefined);
});

void test('an owner refuses requests of an edge that runs another configuration', () => {
  const zone = new ZoneFixture();
  const { owner, others } = zone.ownerAndOthers('/clips/1');
  owner.request('/clips/1');
  zone.respond(0, 'from the old configuration');
  const [requester] = others;
  assert.ok(requester !== undefined);
  requester.nodeAgent = { ...requester.nodeAgent, compiledConfiguration: configurationOf(2) };
  requester.request('/clips/1');
  zone.deliver();
  assert.equal(zone.fetches.at(-1)?.edge, requester);
});

void test('uncacheable requests are never sent to another edge', () => {
  const zone = new ZoneFixture();
  const [requester] = zone.edges;
  requester?.request('/edit/1', 'POST');
  assert.equal(zone.fetches.length, 1);
  zone.advance(2100);
  requester?.request('/clips/1', 'GET', [['authorization', 'x']]);
  assert.equal(zone.fetches.length, 2);
});

void test('an edge does not forward a request from another edge, whatever members it sees', () => {
  const zone = new ZoneFixture();
  const { owner, others } = zone.ownerAndOthers('/clips/1');
  const [requester] = others;
  const { nodeSession } = owner.nodeAgent;
  const visibleMembers = nodeSession.members.filter(({ node }) => node !== owner.member.node);
  owner.nodeAgent = {
    ...owner.nodeAgent,
    nodeSession: { ...nodeSession, members: visibleMembers },
  };
  owner.router.updateFleet(owner.nodeAgent);
  requester?.request('/clips/1');
  zone.deliver();
  assert.equal(zone.fetches.length, 1);
  assert.equal(zone.fetches[0]?.edge, owner);
});

void test('an error response of the origin is not shared; the requesting edge fetches its own response', () => {
  const zone = new ZoneFixture();
  const { others } = zone.ownerAndOthers('/clips/1');
  others[0]?.request('/clips/1');
  zone.deliver();
  zone.respond(0, 'no', 404);
  assert.equal(zone.fetches.length, 2);
  zone.respond(1, 'no', 404);
  assert.deepEqual(others[0]?.kinds(), ['response']);
});

void test('an object that does not fit into a frame is not shared', () => {
  const zone = new ZoneFixture();
  const { others } = zone.ownerAndOthers('/clips/1');
  others[0]?.request('/clips/1');
  zone.deliver();
  zone.respond(0, 'x'.repeat(maxSharedBytes + 1));
  assert.equal(zone.fetches.length, 2);
  assert.equal(zone.fetches[1]?.edge, others[0]);
});

void test('an abort replies to requests that wait for an owner', () => {
  const zone = new ZoneFixture();
  const { owner, others } = zone.ownerAndOthers('/clips/1');
  zone.unreachable.add(owner.member.address);
  others[0]?.request('/clips/1');
  zone.deliver();
  assert.equal(others[0]?.router.abortAll(), 1);
  assert.equal(others[0].replies.length, 1);
  zone.advance(300);
  assert.equal(zone.fetches.length, 0, 'no fetch starts afterwards');
});

const addresses = fc.uniqueArray(fc.integer({ min: 1, max: 200 }), { minLength: 2, maxLength: 40 });

void test('when an edge leaves, only the objects that it owned get another owner', () => {
  fc.assert(
    fc.property(
      addresses,
      fc.array(fc.string(), { minLength: 1, maxLength: 50 }),
      (list, objects) => {
        const all = list.map((number) => toAddress(`10.0.0.${number}:1`));
        const [removed, ...remaining] = all;
        const before = new ObjectOwners(all);
        const after = new ObjectOwners(remaining);
        for (const object of objects) {
          const owner = before.ownerOf(object, () => true);
          const next = after.ownerOf(object, () => true);
          assert.equal(
            next,
            owner === removed ? before.ownerOf(object, (address) => address !== removed) : owner,
          );
        }
      },
    ),
    { seed: 11 },
  );
});

void test('objects are spread evenly: none of twenty edges owns more than twice its share', () => {
  const all = Array.from({ length: 20 }, (_, index) => toAddress(`10.1.0.${index + 1}:7340`));
  const owners = new ObjectOwners(all);
  const ownedCounts = new Map<Address, number>();
  const objectCount = 4000;
  for (let index = 0; index < objectCount; index += 1) {
    const owner = owners.ownerOf(JSON.stringify(['clip', host, `/clips/${index}`]), () => true);
    assert.ok(owner !== undefined);
    ownedCounts.set(owner, (ownedCounts.get(owner) ?? 0) + 1);
  }
  assert.ok(Math.max(...ownedCounts.values()) < (2 * objectCount) / all.length);
  assert.equal(ownedCounts.size, all.length);
});
