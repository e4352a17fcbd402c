/**
 * A service leader: how classes share slots, and when requests are turned away.
 */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import * as fc from 'fast-check';
import {
  type ServiceClassName,
  addMs,
  noGeneration,
  toAddress,
  toRequestId,
  toServiceClassName,
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
const [quick, slow] = [toServiceClassName('quick'), toServiceClassName('slow')];

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

/** The classes that share the service, as the compiled configuration has them. */
const sharingClasses = (): ServiceLeader['classes'] => {
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

/** A leader of one service with one endpoint. */
class Fixture {
  state: ServiceLeader;
  readonly effects: ServiceLeaderEffect[] = [];
  now = toTimestamp(10_000);

  constructor(classesOfService: ServiceLeader['classes'], slots: number) {
    this.state = newServiceLeader(
      service,
      toEpoch(1),
      { name: service, waitlist: 500, probe: { path: '/health', everyMs: 500 } },
      classesOfService,
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
    this.dispatch({
      kind: 'originsUpdated',
      now: this.now,
      origins: new Map([[origin.instance, origin]]),
    });
  }

  dispatch(event: ServiceLeaderEvent): void {
    const result = serviceLeaderTransition(this.state, event);
    this.state = result.state;
    this.effects.push(...result.effects);
  }

  arrive(id: string, className: ServiceClassName, remainingMs = 60_000): void {
    this.dispatch({
      kind: 'requestArrived',
      now: this.now,
      id: toRequestId(id),
      className,
      isIdempotent: true,
      mayHaveRun: false,
      hasEarlierAttempt: false,
      remainingMs,
    });
  }

  arriveMany(count: number, className: ServiceClassName, first = 0): void {
    for (let index = first; index < first + count; index += 1) this.arrive(`a${index}`, className);
  }

  tickAfter(ms: number): void {
    this.now = addMs(this.now, ms);
    this.dispatch({ kind: 'tick', now: this.now });
  }

  running(className: ServiceClassName): number {
    return [...this.state.attempts.values()].filter(
      (attempt) => this.state.activeRequests.get(attempt.requestId)?.className === className,
    ).length;
  }

  endOldest(): void {
    const attemptId = [...this.state.attempts.keys()][0];
    this.now = addMs(this.now, 20);
    if (attemptId !== undefined)
      this.dispatch({
        kind: 'attemptEnded',
        now: this.now,
        attemptId,
        outcome: { kind: 'succeeded', status: 200 },
        durationMs: 20,
      });
  }
}

void test('classes of other services reserve no slots of this one', () => {
  const shared = sharingClasses();
  assert.deepEqual([...shared.keys()], ['quick', 'slow']);
  const fixture = new Fixture(shared, 10);
  fixture.arriveMany(20, quick);
  // All but the share of the other class of this service.
  assert.equal(fixture.running(quick), 8);
});

void test('a lent slot comes back with the next responses, and the lender always finds one for its next request', () => {
  const fixture = new Fixture(sharingClasses(), 10);
  fixture.arriveMany(30, slow);
  assert.equal(fixture.running(slow), 9, 'all but the one slot that the lender keeps');
  fixture.arrive('a100', quick);
  assert.equal(fixture.running(quick), 1, 'at once');
  fixture.arriveMany(9, quick, 101);
  for (let ended = 0; ended < 8; ended += 1) fixture.endOldest();
  assert.ok(
    fixture.running(quick) >= 6,
    `${fixture.running(quick)} of the lender run after one round of responses`,
  );
});

void test('a request that can no longer be served in its time is rejected before its deadline, with when to retry', () => {
  const fixture = new Fixture(sharingClasses(), 2);
  fixture.arriveMany(2, quick);
  fixture.arrive('late', quick, 5000);
  // The only endpoint leaves: nothing will serve what waits.
  fixture.dispatch({ kind: 'originsUpdated', now: fixture.now, origins: new Map() });
  const rejectionOfLate = (): ServiceLeaderEffect | undefined =>
    fixture.effects.find(
      (effect) => effect.kind === 'rejectRequest' && effect.requestId === 'late',
    );
  fixture.tickAfter(900);
  assert.equal(rejectionOfLate(), undefined, 'another one may come up');
  fixture.tickAfter(200);
  const rejection = rejectionOfLate();
  assert.ok(
    rejection?.kind === 'rejectRequest' &&
      rejection.errorKind === 'rejected' &&
      rejection.retryAfterMs > 0,
  );
});

void test('there are never more attempts than slots, and no waiting class is below its share while slots are free', () => {
  fc.assert(
    fc.property(
      fc.array(fc.oneof(fc.constant('quick'), fc.constant('slow'), fc.constant('end')), {
        maxLength: 120,
      }),
      fc.integer({ min: 1, max: 12 }),
      (steps, slots) => {
        const fixture = new Fixture(sharingClasses(), slots);
        steps.forEach((step, index) => {
          if (step === 'end') fixture.endOldest();
          else fixture.arrive(`a${index}`, step === 'quick' ? quick : slow);
          assert.ok(fixture.state.attempts.size <= slots);
          for (const [className, share] of [
            [quick, 0.6],
            [slow, 0.2],
          ] as const) {
            const waiting = fixture.state.queues.get(className)?.length ?? 0;
            if (waiting > 0 && fixture.running(className) < Math.floor(share * slots))
              assert.equal(fixture.state.attempts.size, slots);
          }
        });
      },
    ),
    { seed: 7, numRuns: 200 },
  );
});
