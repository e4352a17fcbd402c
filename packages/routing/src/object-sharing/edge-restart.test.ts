/** Guards object sharing while edges are killed and restarted: no reply meant for an ended process is taken by its successor. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { toServiceName } from '@switchwheel/types';
import { RandomSource } from '../random/random-source.js';
import type { ClientReply } from '../router/ports.js';
import { compileDocument } from '../testing/edge-fixture.js';
import { type FleetEdge, FleetFixture } from '../testing/fleet-fixture.js';

const service = toServiceName('clips');
const host = 'one.example';
/** Rate of each edge's quota share; below it objects are requested from their owners. */
const perSecondAndEdge = 4;

/** Returns a fleet whose quota shares, empty at the start, hold a few fetches. */
const newFleet = (zones: readonly string[], edgesPerZone: number): FleetFixture => {
  const perSecond = perSecondAndEdge * zones.length * edgesPerZone;
  const configuration = compileDocument({
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
        cache: { lifetimeMs: 5000 },
      },
    ],
  });
  const fleet = new FleetFixture({
    configuration,
    service,
    host,
    zones,
    edgesPerZone,
    origins: [{ instance: 'o1', address: '10.0.9.1:80' }],
  });
  for (const edge of fleet.edges) edge.request('/clips/first');
  fleet.advance(3000);
  return fleet;
};

/** Body of a successful reply, which names its object; undefined for a failure. */
const bodyOf = (reply: ClientReply): string | undefined => {
  switch (reply.kind) {
    case 'failure':
      return undefined;
    case 'cached':
      return reply.entry.body.toString();
    case 'response':
      return reply.response.body.toString();
  }
};

const stepMs = 30;
const objectCount = 400;
const runMs = 6000;
const meanRestartIntervalMs = 150;
const maxDowntimeMs = 300;
const minFetchMs = 200;
const maxFetchMs = 1400;

/** How the processes of a run tell replies apart. */
interface Guards {
  /** Whether a restarted edge numbers its queries in the same way as its earlier process did. */
  readonly repeatsIds: boolean;
  /** Whether owners reply to an address, whichever process has it. */
  readonly repliesByAddress: boolean;
}

/** Result of a run. */
interface RestartResult {
  /** Number of requests that were answered with another object. */
  readonly wrong: number;
  /** Number of replies that were not taken, or not sent, as they were meant for an ended process. */
  readonly averted: number;
}

/** Edges of two zones that are killed and restarted at random while clients request objects from slow origins. */
class RestartRun {
  readonly #fleet = newFleet(['a', 'b'], 4);
  readonly #processes: FleetEdge[] = [...this.#fleet.edges];
  readonly #random: RandomSource;
  readonly #guards: Guards;
  readonly #respondAt: number[] = [];
  readonly #restartAt = new Map<FleetEdge, number>();

  constructor(seed: number, guards: Guards) {
    this.#random = new RandomSource({ seed });
    this.#guards = guards;
    this.#fleet.repliesByAddress = guards.repliesByAddress;
  }

  play(): RestartResult {
    const end = this.#fleet.now + runMs;
    while (this.#fleet.now < end) {
      this.#restartDue();
      this.#killSome();
      this.#requestObjects();
      this.#fleet.advance(stepMs);
      this.#respond();
    }
    return { wrong: this.#countWrong(), averted: this.#countAverted() };
  }

  #restartDue(): void {
    for (const [edge, at] of this.#restartAt) {
      if (this.#fleet.now < at) continue;
      this.#restartAt.delete(edge);
      const seed = this.#guards.repeatsIds ? edge.clockStart : this.#integer(2 ** 32);
      this.#processes.push(this.#fleet.restart(edge, seed));
    }
  }

  #killSome(): void {
    if (this.#random.next() > stepMs / meanRestartIntervalMs) return;
    const victim = this.#fleet.edges[this.#integer(this.#fleet.edges.length)];
    if (victim?.isRunning !== true) return;
    this.#fleet.kill(victim);
    this.#restartAt.set(victim, this.#fleet.now + this.#integer(maxDowntimeMs));
  }

  #requestObjects(): void {
    for (const edge of this.#fleet.edges)
      if (edge.isRunning) edge.request(`/clips/${this.#integer(objectCount)}`);
  }

  #respond(): void {
    const { fetches, now } = this.#fleet;
    while (this.#respondAt.length < fetches.length)
      this.#respondAt.push(now + minFetchMs + this.#integer(maxFetchMs - minFetchMs));
    for (const [index, at] of this.#respondAt.entries()) {
      if (at > now) continue;
      this.#respondAt[index] = Infinity;
      this.#fleet.respond(index, fetches[index]?.request.target);
    }
  }

  #countWrong(): number {
    const answered = this.#processes.flatMap((edge) => edge.answered);
    return answered.filter(({ target, reply }) => (bodyOf(reply) ?? target) !== target).length;
  }

  #countAverted(): number {
    const counted = this.#processes.flatMap(({ router: { counts } }) => [
      counts.get('owner_unmatched') ?? 0,
      counts.get('peer_gone') ?? 0,
    ]);
    return counted.reduce((sum, count) => sum + count, 0);
  }

  #integer(below: number): number {
    return Math.floor(this.#random.next() * below);
  }
}

const seeds = Array.from({ length: 50 }, (_, index) => index + 1);

/** Plays a run for each seed; returns the seeds with wrong answers, and the number of replies that were averted in all. */
const playAll = (
  guards: Guards,
): { readonly wrongSeeds: readonly number[]; readonly averted: number } => {
  const results = seeds.map((seed) => ({ seed, ...new RestartRun(seed, guards).play() }));
  return {
    wrongSeeds: results.filter(({ wrong }) => wrong > 0).map(({ seed }) => seed),
    averted: results.reduce((sum, { averted }) => sum + averted, 0),
  };
};

// Guards against MIXED: a client gets another object, from a reply to the query with the same id of an earlier process.
void test('no client gets another object while edges restart, beside owners of the version that replied by address', () => {
  const { wrongSeeds, averted } = playAll({ repeatsIds: false, repliesByAddress: true });
  assert.deepEqual(wrongSeeds, []);
  assert.ok(averted > 0, 'late replies reached restarted edges');
});

// Guards against MIXED at an edge of the version whose processes all number their queries from 1.
void test('no client gets another object while edges restart that repeat their query ids', () => {
  const { wrongSeeds, averted } = playAll({ repeatsIds: true, repliesByAddress: false });
  assert.deepEqual(wrongSeeds, []);
  assert.ok(averted > 0, 'owners had replies for processes that had ended');
});

void test('without either guard the same runs give clients other objects', () => {
  const { wrongSeeds } = playAll({ repeatsIds: true, repliesByAddress: true });
  assert.ok(wrongSeeds.length > 0);
});

/** Two edges of one zone, and two objects of the first that the second requests. */
interface TwoEdges {
  readonly fleet: FleetFixture;
  readonly owner: FleetEdge;
  readonly requester: FleetEdge;
  readonly targets: readonly [string, string];
}

const twoEdges = (): TwoEdges => {
  const fleet = newFleet(['a'], 2);
  const [owner, requester] = fleet.edges;
  assert.ok(owner !== undefined && requester !== undefined);
  const [first, second] = Array.from({ length: 20 }, (_, index) => `/clips/${index + 1}`).filter(
    (target) => {
      const probe = newFleet(['a'], 2);
      const fetchCount = probe.fetches.length;
      probe.edges[1]?.request(target);
      probe.deliver();
      return probe.fetches[fetchCount]?.edge === probe.edges[0];
    },
  );
  assert.ok(first !== undefined && second !== undefined);
  return { fleet, owner, requester, targets: [first, second] };
};

// Guards against MIXED: the first reply after a restart, to the earlier process, was served for the first new request.
void test('a restarted edge does not take a late reply to its earlier process for the reply to its own query', () => {
  const { fleet, owner, requester, targets } = twoEdges();
  fleet.repliesByAddress = true;
  const fetchCount = fleet.fetches.length;
  requester.request(targets[0]);
  fleet.deliver();
  fleet.kill(requester);
  const restarted = fleet.restart(requester, 1);
  restarted.request(targets[1]);
  fleet.deliver();
  const fetches = fleet.fetches.slice(fetchCount);
  assert.deepEqual(
    fetches.map(({ edge, request }) => [edge, request.target]),
    targets.map((target) => [owner, target]),
  );
  fleet.respond(fetchCount, targets[0]);
  assert.deepEqual(restarted.answered, [], 'the late reply is not taken');
  assert.equal(restarted.router.counts.get('owner_unmatched'), 1);
  fleet.respond(fetchCount + 1, targets[1]);
  assert.deepEqual(restarted.bodies(), [targets[1]]);
});

// Guards against MIXED at a restarted edge that can't tell the reply apart itself.
void test('an owner replies to the process that sent the query, not to its successor at the same address', () => {
  const { fleet, owner, requester, targets } = twoEdges();
  const fetchCount = fleet.fetches.length;
  requester.request(targets[0]);
  fleet.deliver();
  fleet.kill(requester);
  const restarted = fleet.restart(requester, requester.clockStart);
  restarted.request(targets[1]);
  fleet.deliver();
  fleet.respond(fetchCount, targets[0]);
  assert.deepEqual(restarted.answered, []);
  assert.equal(owner.router.counts.get('peer_gone'), 1);
  fleet.respond(fetchCount + 1, targets[1]);
  assert.deepEqual(restarted.bodies(), [targets[1]]);
});
