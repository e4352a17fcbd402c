import assert from 'node:assert/strict';
import { test } from 'node:test';
import * as fc from 'fast-check';
import {
  type ClassName,
  addMs,
  noGeneration,
  toAddress,
  toRequestId,
  toClassName,
  toEpoch,
  toInstanceId,
  toTimestamp,
  toRelease,
  toServiceName,
} from '@switchwheel/types';
import { buildConfiguration, splitIntoChunks, runToCompletion } from '@switchwheel/configuration';
import { serviceLeaderTransition } from './service-leader.js';
import {
  type ServiceLeader,
  type ServiceLeaderEffect,
  type ServiceLeaderEvent,
  newServiceLeader,
} from './state.js';

const service = toServiceName('shop');
const [quick, slow] = [toClassName('quick'), toClassName('slow')];

const classes = [
  { name: 'quick', latencyMs: 100, share: 0.6, lendsTo: ['slow'] },
  { name: 'slow', share: 0.2 },
  { name: 'elsewhere', share: 0.9 },
];
const routes = [
  { name: 'a', prefix: '/a/', service: 'shop', class: 'quick' },
  { name: 'b', prefix: '/b/', service: 'shop', class: 'slow' },
  { name: 'c', prefix: '/c/', service: 'other', class: 'elsewhere' },
];

const meeting = (): ServiceLeader['classes'] => {
  const bundle = runToCompletion(
    splitIntoChunks({
      format: 1,
      classes,
      services: [{ name: 'shop' }, { name: 'other' }],
      routes,
    }),
  ).unwrapOrElse((faults) => {
    throw new Error(JSON.stringify(faults));
  });
  const table = runToCompletion(
    buildConfiguration(
      bundle.chunkHashes.map((hash) => bundle.chunks.get(hash) ?? ''),
      noGeneration,
      bundle.hash,
    ),
  ).unwrapOrElse((faults) => {
    throw new Error(JSON.stringify(faults));
  });
  return table.classesByService.get(service) ?? new Map();
};

class Bench {
  state: ServiceLeader;
  readonly effects: ServiceLeaderEffect[] = [];
  now = toTimestamp(10_000);

  constructor(groups: ServiceLeader['classes'], slots: number) {
    this.state = newServiceLeader(
      service,
      toEpoch(1),
      { name: service, waitlist: 500, probe: { path: '/health', everyMs: 500 } },
      groups,
      toTimestamp(0),
    );
    const origin = {
      service,
      instance: toInstanceId('shop.1'),
      address: toAddress('10.0.0.1:80'),
      release: toRelease('r1'),
      slots,
      state: 'up' as const,
      lastHeardAt: this.now,
    };
    this.tell({
      kind: 'originsUpdated',
      now: this.now,
      origins: new Map([[origin.instance, origin]]),
    });
  }

  tell(event: ServiceLeaderEvent): void {
    const done = serviceLeaderTransition(this.state, event);
    this.state = done.state;
    this.effects.push(...done.effects);
  }

  arrive(id: number, group: ClassName): void {
    this.tell({
      kind: 'requestArrived',
      now: this.now,
      id: toRequestId(`a${id}`),
      className: group,
      isIdempotent: true,
      mayHaveRun: false,
      hasEarlierAttempt: false,
      remainingMs: 60_000,
    });
  }

  running(group: ClassName): number {
    return [...this.state.attempts.values()].filter(
      (leg) => this.state.activeRequests.get(leg.requestId)?.className === group,
    ).length;
  }

  endOne(): void {
    const leg = [...this.state.attempts.keys()][0];
    this.now = addMs(this.now, 20);
    if (leg !== undefined)
      this.tell({
        kind: 'attemptEnded',
        now: this.now,
        attemptId: leg,
        outcome: { kind: 'succeeded', status: 200 },
        durationMs: 20,
      });
  }
}

void test('shares of classes that never meet at a service hold nothing back there', () => {
  const groups = meeting();
  assert.deepEqual([...groups.keys()], ['quick', 'slow']);
  const bench = new Bench(groups, 10);
  for (let at = 0; at < 20; at += 1) bench.arrive(at, quick);
  // All but what is owed to the other class that meets here.
  assert.equal(bench.running(quick), 8);
});

void test('what a class lends comes back with the next results, and its next request always finds a slot', () => {
  const bench = new Bench(meeting(), 10);
  for (let at = 0; at < 30; at += 1) bench.arrive(at, slow);
  assert.equal(bench.running(slow), 9, 'all but the one slot that the lender keeps');
  bench.arrive(100, quick);
  assert.equal(bench.running(quick), 1, 'at once');
  for (let at = 101; at < 110; at += 1) bench.arrive(at, quick);
  for (let at = 0; at < 8; at += 1) bench.endOne();
  assert.ok(
    bench.running(quick) >= 6,
    `${bench.running(quick)} of the lender run after one round of results`,
  );
});

void test('a request that can not be served in its time any more is told at once, with when to come back', () => {
  const bench = new Bench(meeting(), 2);
  for (let at = 0; at < 2; at += 1) bench.arrive(at, quick);
  bench.tell({
    kind: 'requestArrived',
    now: bench.now,
    id: toRequestId('late'),
    className: quick,
    isIdempotent: true,
    mayHaveRun: false,
    hasEarlierAttempt: false,
    remainingMs: 5000,
  });
  // The only origin leaves: nothing will serve what waits.
  bench.tell({ kind: 'originsUpdated', now: bench.now, origins: new Map() });
  const told = (): ServiceLeaderEffect | undefined =>
    bench.effects.find((one) => one.kind === 'rejectRequest' && one.requestId === 'late');
  bench.now = addMs(bench.now, 900);
  bench.tell({ kind: 'tick', now: bench.now });
  assert.equal(told(), undefined, 'another one may come up');
  bench.now = addMs(bench.now, 200);
  bench.tell({ kind: 'tick', now: bench.now });
  const away = told();
  assert.ok(away?.kind === 'rejectRequest' && away.errorKind === 'rejected' && away.retryMs > 0);
});

void test('never more legs than slots, never a class with work kept below its share while slots are free', () => {
  fc.assert(
    fc.property(
      fc.array(fc.oneof(fc.constant('quick'), fc.constant('slow'), fc.constant('end')), {
        maxLength: 120,
      }),
      fc.integer({ min: 1, max: 12 }),
      (acts, slots) => {
        const bench = new Bench(meeting(), slots);
        acts.forEach((act, at) => {
          if (act === 'end') bench.endOne();
          else bench.arrive(at, act === 'quick' ? quick : slow);
          assert.ok(bench.state.attempts.size <= slots);
          for (const [group, share] of [
            [quick, 0.6],
            [slow, 0.2],
          ] as const) {
            const waits = bench.state.queues.get(group)?.length ?? 0;
            if (waits > 0 && bench.running(group) < Math.floor(share * slots))
              assert.equal(bench.state.attempts.size, slots);
          }
        });
      },
    ),
    { seed: 7, numRuns: 200 },
  );
});
