/**
 * Guards against classes that starve each other of slots, and against requests left waiting past their deadline.
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

/** Returns the classes that share the service, from a compiled configuration. */
const sharingClasses = (): ServiceLeader['classes'] => {
  const bundle = runToCompletion(
    splitIntoChunks({
      format: 1,
      classes,
      services: [{ name: 'shop' }, { name: 'other' }],
      routes,
    }),
  ).unwrapOrElse((issues) => {
    throw new Error(JSON.stringify(issues));
  });
  const configuration = runToCompletion(
    buildConfiguration(
      bundle.chunkHashes.map((hash) => bundle.chunks.get(hash) ?? ''),
      noGeneration,
      bundle.hash,
    ),
  ).unwrapOrElse((issues) => {
    throw new Error(JSON.stringify(issues));
  });
  return configuration.classesByService.get(service) ?? new Map();
};

/** Leader of one service with one endpoint. */
class Fixture {
  state: ServiceLeader;
  readonly effects: ServiceLeaderEffect[] = [];
  now = toTimestamp(10_000);

  constructor(serviceClasses: ServiceLeader['classes'], slots: number) {
    this.state = newServiceLeader(
      service,
      toEpoch(1),
      { name: service, waitlist: 500, probe: { path: '/health', everyMs: 500 } },
      serviceClasses,
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

  arriveMany(count: number, className: ServiceClassName, firstIndex = 0): void {
    for (let index = firstIndex; index < firstIndex + count; index += 1)
      this.arrive(`a${index}`, className);
  }

  advance(durationMs: number): void {
    this.now = addMs(this.now, durationMs);
    this.dispatch({ kind: 'tick', now: this.now });
  }

  runningAttempts(className: ServiceClassName): number {
    return [...this.state.attempts.values()].filter(
      (attempt) => this.state.activeRequests.get(attempt.requestId)?.className === className,
    ).length;
  }

  completeOldestAttempt(): void {
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

void test('classes of other services reserve no slots of this service', () => {
  const shared = sharingClasses();
  assert.deepEqual([...shared.keys()], ['quick', 'slow']);
  const fixture = new Fixture(shared, 10);
  fixture.arriveMany(20, quick);
  // All slots but the other class's share.
  assert.equal(fixture.runningAttempts(quick), 8);
});

void test('lent slots return with the next responses, and a lending class always has a slot for its next request', () => {
  const fixture = new Fixture(sharingClasses(), 10);
  fixture.arriveMany(30, slow);
  assert.equal(fixture.runningAttempts(slow), 9, 'a lending class keeps one slot');
  fixture.arrive('a100', quick);
  assert.equal(
    fixture.runningAttempts(quick),
    1,
    'the request of the lending class starts at once',
  );
  fixture.arriveMany(9, quick, 101);
  for (let ended = 0; ended < 8; ended += 1) fixture.completeOldestAttempt();
  assert.ok(
    fixture.runningAttempts(quick) >= 6,
    `${fixture.runningAttempts(quick)} attempts of the lending class after one round of responses`,
  );
});

void test('a request that can no longer be served in time is rejected before its deadline, with a retry delay', () => {
  const fixture = new Fixture(sharingClasses(), 2);
  fixture.arriveMany(2, quick);
  fixture.arrive('late', quick, 5000);
  // The only endpoint is removed.
  fixture.dispatch({ kind: 'originsUpdated', now: fixture.now, origins: new Map() });
  const rejectionOfLateRequest = (): ServiceLeaderEffect | undefined =>
    fixture.effects.find(
      (effect) => effect.kind === 'rejectRequest' && effect.requestId === 'late',
    );
  fixture.advance(900);
  assert.equal(rejectionOfLateRequest(), undefined, 'within the grace period for a new endpoint');
  fixture.advance(200);
  const rejection = rejectionOfLateRequest();
  assert.ok(
    rejection?.kind === 'rejectRequest' &&
      rejection.errorKind === 'rejected' &&
      rejection.retryAfterMs > 0,
  );
});

void test('attempts never exceed slots, and no class with queued requests is below its share while slots are free', () => {
  fc.assert(
    fc.property(
      fc.array(fc.oneof(fc.constant('quick'), fc.constant('slow'), fc.constant('end')), {
        maxLength: 120,
      }),
      fc.integer({ min: 1, max: 12 }),
      (steps, slots) => {
        const fixture = new Fixture(sharingClasses(), slots);
        steps.forEach((step, index) => {
          if (step === 'end') fixture.completeOldestAttempt();
          else fixture.arrive(`a${index}`, step === 'quick' ? quick : slow);
          assert.ok(fixture.state.attempts.size <= slots);
          for (const [className, share] of [
            [quick, 0.6],
            [slow, 0.2],
          ] as const) {
            const waiting = fixture.state.queues.get(className)?.length ?? 0;
            if (waiting > 0 && fixture.runningAttempts(className) < Math.floor(share * slots))
              assert.equal(fixture.state.attempts.size, slots);
          }
        });
      },
    ),
    { seed: 7, numRuns: 200 },
  );
});
