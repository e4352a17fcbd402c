/**
 * Guards against good releases that do not settle in time, bad ones that get too many requests, and
 * repeated rollout requests that start a second rollout.
 */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import * as fc from 'fast-check';
import { toRelease } from '@switchwheel/types';
import {
  type Behaviour,
  type Scenario,
  newRelease,
  oldRelease,
  openedRollout,
  service,
  simulateRollout,
} from '../testing/rollout-simulation.js';
import { pickRelease } from './pick-release.js';
import {
  type ReleaseRollout,
  releaseStateOf,
  requestReleaseRollout,
  settledRollout,
} from './release-rollout.js';
import { releaseSettings } from './settings.js';

const good: Behaviour = {
  kind: 'good',
  badFraction: 0,
  load: 1,
  failsAfter: 0,
  latencyFactor: 1,
};
const badBehaviours: readonly Behaviour[] = [
  { ...good, kind: 'errors', badFraction: 0.3 },
  { ...good, kind: 'errors', badFraction: 0.6 },
  { ...good, kind: 'slow', badFraction: 0.4 },
  { ...good, kind: 'slow', badFraction: 1, latencyFactor: 0.7 },
  { ...good, kind: 'load', badFraction: 0.3, load: 0.15 },
  { ...good, kind: 'load', badFraction: 0.5, load: 0.6 },
  { ...good, kind: 'class', badFraction: 0.3 },
  { ...good, kind: 'class', badFraction: 0.6 },
  { ...good, kind: 'late', badFraction: 0.3, failsAfter: 0.4 },
  { ...good, kind: 'late', badFraction: 0.5, failsAfter: 0.7 },
];
const seeds = [1, 2, 3];
/** At a low rate the short span gives the class with a fifth of the requests too few responses. */
const spansOf = (requestsPerSecond: number): readonly number[] =>
  requestsPerSecond < 100 ? [12_000, 16_000] : [8000, 12_000, 16_000];

const assertBad = (scenario: Scenario): void => {
  const outcome = simulateRollout(scenario);
  const details = JSON.stringify({ ...scenario, ...outcome });
  assert.ok(
    outcome.canaryRequests <= 0.1 * outcome.totalRequests + 50,
    `too many requests to the bad release: ${details}`,
  );
  assert.ok(
    outcome.lastRequestAfter50Ms <= 5000,
    `requests too long after 50 bad responses: ${details}`,
  );
  assert.equal(outcome.rollout.phase, 'bad', details);
  assert.equal(outcome.rollout.settled, oldRelease, details);
  assert.ok(
    outcome.decidedMs <= scenario.spanMs - 400,
    `decided too close to the deadline: ${details}`,
  );
};
const assertGood = (scenario: Scenario): void => {
  const outcome = simulateRollout(scenario);
  const details = JSON.stringify({ ...scenario, ...outcome });
  assert.equal(outcome.rollout.phase, 'good', details);
  assert.equal(outcome.rollout.settled, newRelease, details);
  assert.ok(
    outcome.decidedMs <= scenario.spanMs - 400,
    `decided too close to the deadline: ${details}`,
  );
  assert.equal(outcome.interruptedRequests, 0, `requests in flight at old origins: ${details}`);
  assert.ok(outcome.writes < 40, `too many writes: ${details}`);
};

for (const requestsPerSecond of [60, 250, 800]) {
  void test(`a good release is accepted before the deadline at ${requestsPerSecond} requests per second`, () => {
    for (const seed of seeds)
      for (const spanMs of spansOf(requestsPerSecond))
        for (const latencyFactor of [0.7, 1, 1.4])
          assertGood({ seed, requestsPerSecond, spanMs, release: { ...good, latencyFactor } });
  });
  void test(`each kind of bad release is rejected after few requests to it at ${requestsPerSecond} requests per second`, () => {
    for (const seed of seeds)
      for (const spanMs of spansOf(requestsPerSecond))
        for (const release of badBehaviours)
          assertBad({ seed, requestsPerSecond, spanMs, release });
  });
}

void test('a new primary continues a rollout from the stored record', () => {
  for (const seed of seeds) {
    for (const primaryLossAt of [1000, 5000, 8000, 12_000]) {
      assertGood({
        seed,
        requestsPerSecond: 250,
        spanMs: 16_000,
        release: good,
        primaryLossAt,
      });
      for (const release of badBehaviours)
        assertBad({ seed, requestsPerSecond: 250, spanMs: 16_000, release, primaryLossAt });
    }
  }
});

void test('a restart of edges during the rollout does not change its result', () => {
  for (const seed of seeds) {
    assertGood({
      seed,
      requestsPerSecond: 250,
      spanMs: 16_000,
      release: good,
      edgeLossAt: 7000,
    });
    for (const release of badBehaviours)
      assertBad({ seed, requestsPerSecond: 250, spanMs: 16_000, release, edgeLossAt: 7000 });
  }
});

void test('the loss of the primary during the shift interrupts no requests at old origins', () => {
  for (const seed of seeds) {
    for (const primaryLossAt of [14_005, 14_100, 14_400]) {
      const outcome = simulateRollout({
        seed,
        requestsPerSecond: 250,
        spanMs: 16_000,
        release: good,
        primaryLossAt,
      });
      assert.equal(outcome.rollout.phase, 'good');
      assert.equal(outcome.interruptedRequests, 0);
      // After a later loss the new primary accepts the release past the deadline, with old origins still live.
      assert.ok(outcome.decidedMs <= (primaryLossAt < 14_200 ? 16_000 : 16_400));
    }
  }
});

void test('a fault that affects both releases does not make the new one bad', () => {
  for (const seed of seeds)
    for (const requestsPerSecond of [60, 250, 800])
      assertGood({ seed, requestsPerSecond, spanMs: 16_000, release: good, faultRate: 0.15 });
});

void test('at low traffic a bad release stays within the fixed allowance', () => {
  for (const seed of seeds) {
    for (const requestsPerSecond of [1, 5, 15]) {
      assertGood({ seed, requestsPerSecond, spanMs: 16_000, release: good });
      for (const release of badBehaviours) {
        const outcome = simulateRollout({ seed, requestsPerSecond, spanMs: 16_000, release });
        assert.ok(
          outcome.canaryRequests <= 0.1 * outcome.totalRequests + 50,
          JSON.stringify({ requestsPerSecond, release, ...outcome }),
        );
      }
    }
  }
});

void test('a bad release gets no requests, and a shifted one with live origins gets all', () => {
  const anyRelease = fc.constantFrom('r1', 'r2', 'r3').map(toRelease);
  const anyPhase = fc.constantFrom('none', 'trial', 'moving', 'good', 'bad');
  const anyFraction = fc.double({ min: 0, max: 1, noNaN: true });
  fc.assert(
    fc.property(
      fc.option(anyRelease, { nil: undefined }),
      anyRelease,
      anyPhase,
      anyFraction,
      anyFraction,
      fc.uniqueArray(anyRelease),
      fc.boolean(),
      (settled, target, phase, share, fraction, releases, isFresh) => {
        const state = {
          ...releaseStateOf(settledRollout(service, settled), 0),
          target,
          phase,
          share,
        };
        const live = new Set(releases);
        const picked = pickRelease(state, live, 'a', fraction, isFresh);
        const excluded = phase === 'bad' && settled !== target ? target : undefined;
        const allowed = releases.filter((release) => release !== excluded);
        assert.equal(picked === undefined, allowed.length === 0);
        if (picked === undefined) return;
        assert.ok(allowed.includes(picked));
        if ((phase === 'moving' || phase === 'good') && live.has(target))
          assert.equal(picked, target);
        if (phase === 'trial' && settled !== undefined && live.has(settled) && fraction >= share)
          assert.equal(picked, settled);
        if (phase === 'trial' && allowed.some((release) => release !== target) && !isFresh)
          assert.ok(picked !== target || settled === target);
      },
    ),
  );
});

void test('a repeated rollout request changes nothing, and a different one conflicts while a rollout is in progress', () => {
  const first = openedRollout(
    requestReleaseRollout(settledRollout(service, oldRelease), oldRelease, newRelease, 16_000, 0),
  );
  assert.equal(
    requestReleaseRollout(first, oldRelease, newRelease, 9000, 500).kind,
    'alreadyAccepted',
  );
  assert.equal(
    requestReleaseRollout(first, oldRelease, toRelease('r3'), 9000, 500).kind,
    'conflict',
  );
  const bad: ReleaseRollout = { ...first, phase: 'bad', spentMs: 4000 };
  assert.equal(
    requestReleaseRollout(bad, oldRelease, newRelease, 16_000, 4000).kind,
    'alreadyAccepted',
  );
  // The span is over, but a client that did not receive the response may still repeat its request.
  assert.equal(
    requestReleaseRollout(bad, oldRelease, newRelease, 16_000, 17_000).kind,
    'alreadyAccepted',
  );
  assert.equal(
    requestReleaseRollout(
      bad,
      oldRelease,
      newRelease,
      16_000,
      releaseSettings.duplicateWindowMs + 1,
    ).kind,
    'opened',
  );
  const third = requestReleaseRollout(bad, oldRelease, toRelease('r3'), 16_000, 4000);
  assert.ok(
    third.kind === 'opened' && third.rollout.order > bad.order && third.rollout.serial > bad.serial,
  );
});

void test('repeated requests of earlier rollouts are recognised for a bounded time, by target and span', () => {
  const r3 = toRelease('r3');
  const first = openedRollout(
    requestReleaseRollout(settledRollout(service, oldRelease), oldRelease, newRelease, 16_000, 0),
  );
  const good: ReleaseRollout = { ...first, phase: 'good', settled: newRelease, spentMs: 16_000 };
  const second = openedRollout(requestReleaseRollout(good, newRelease, r3, 16_000, 20_000));
  assert.deepEqual(requestReleaseRollout(second, newRelease, newRelease, 16_000, 1000), {
    kind: 'alreadyAccepted',
    rolloutNumber: first.order,
  });
  assert.equal(
    requestReleaseRollout(second, newRelease, newRelease, 12_000, 1000).kind,
    'conflict',
    'another span makes another request',
  );
  const settledOnR3: ReleaseRollout = { ...second, phase: 'good', settled: r3, spentMs: 16_000 };
  assert.deepEqual(requestReleaseRollout(settledOnR3, r3, newRelease, 16_000, 30_000), {
    kind: 'alreadyAccepted',
    rolloutNumber: first.order,
  });
  assert.equal(requestReleaseRollout(settledOnR3, r3, newRelease, 12_000, 30_000).kind, 'opened');
  assert.equal(
    requestReleaseRollout(settledOnR3, r3, newRelease, 16_000, releaseSettings.duplicateWindowMs)
      .kind,
    'opened',
  );
});

void test('a bounded number of earlier rollouts is kept per service', () => {
  let latest = settledRollout(service, oldRelease);
  for (let index = 0; index < 100; index += 1) {
    const next = openedRollout(
      requestReleaseRollout(latest, oldRelease, toRelease(`v${index}`), 1000, 1),
    );
    latest = { ...next, phase: 'good' };
  }
  assert.equal(latest.earlier.length, 16);
  assert.equal(
    requestReleaseRollout(latest, oldRelease, toRelease('v90'), 1000, 1).kind,
    'alreadyAccepted',
  );
});
