/**
 * Release rollouts as a whole, played against simulated edges: good releases become good in time, bad
 * ones are found with little exposure; and how requests for rollouts are answered.
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
  playRollout,
  service,
} from '../testing/rollout-simulation.js';
import { pickRelease } from './pick-release.js';
import {
  type ReleaseRollout,
  releaseStateOf,
  requestReleaseRollout,
  settledRollout,
} from './release-rollout.js';
import { releaseSettings } from './settings.js';

const good: Behaviour = { kind: 'good', share: 0, load: 1, late: 0, pace: 1 };
const bads: readonly Behaviour[] = [
  { ...good, kind: 'errors', share: 0.3 },
  { ...good, kind: 'errors', share: 0.6 },
  { ...good, kind: 'slow', share: 0.4 },
  { ...good, kind: 'slow', share: 1, pace: 0.7 },
  { ...good, kind: 'load', share: 0.3, load: 0.15 },
  { ...good, kind: 'load', share: 0.5, load: 0.6 },
  { ...good, kind: 'class', share: 0.3 },
  { ...good, kind: 'class', share: 0.6 },
  { ...good, kind: 'late', share: 0.3, late: 0.4 },
  { ...good, kind: 'late', share: 0.5, late: 0.7 },
];
const seeds = [1, 2, 3];
/** With few requests and a short span one class in five gives too few answers to judge it by. */
const spansOf = (perS: number): readonly number[] =>
  perS < 100 ? [12_000, 16_000] : [8000, 12_000, 16_000];

const assertBad = (scenario: Scenario): void => {
  const done = playRollout(scenario);
  const what = JSON.stringify({ ...scenario, ...done });
  assert.ok(done.exposed <= 0.1 * done.total + 50, `exposure: ${what}`);
  assert.ok(done.after50 <= 5000, `late: ${what}`);
  assert.equal(done.order.phase, 'bad', what);
  assert.equal(done.order.settled, oldRelease, what);
  assert.ok(done.judgedMs <= scenario.spanMs - 400, `term: ${what}`);
};
const assertGood = (scenario: Scenario): void => {
  const done = playRollout(scenario);
  const what = JSON.stringify({ ...scenario, ...done });
  assert.equal(done.order.phase, 'good', what);
  assert.equal(done.order.settled, newRelease, what);
  assert.ok(done.judgedMs <= scenario.spanMs - 400, `term: ${what}`);
  assert.equal(done.cutOff, 0, `cut off: ${what}`);
  assert.ok(done.writes < 40, `writes: ${what}`);
};

for (const perS of [60, 250, 800]) {
  void test(`a good release becomes good in time at ${perS} requests a second`, () => {
    for (const seed of seeds)
      for (const spanMs of spansOf(perS))
        for (const pace of [0.7, 1, 1.4])
          assertGood({ seed, perS, spanMs, release: { ...good, pace } });
  });
  void test(`each kind of bad release is judged bad, with little exposure, at ${perS} requests a second`, () => {
    for (const seed of seeds)
      for (const spanMs of spansOf(perS))
        for (const release of bads) assertBad({ seed, perS, spanMs, release });
  });
}

void test('a primary that changes midway goes on from the record', () => {
  for (const seed of seeds) {
    for (const lossAt of [1000, 5000, 8000, 12_000]) {
      assertGood({ seed, perS: 250, spanMs: 16_000, release: good, lossAt });
      for (const release of bads) assertBad({ seed, perS: 250, spanMs: 16_000, release, lossAt });
    }
  }
});

void test('edges that restart midway lose nothing that matters', () => {
  for (const seed of seeds) {
    assertGood({ seed, perS: 250, spanMs: 16_000, release: good, edgeLossAt: 7000 });
    for (const release of bads)
      assertBad({ seed, perS: 250, spanMs: 16_000, release, edgeLossAt: 7000 });
  }
});

void test('a primary lost as all traffic moves stops nothing early', () => {
  for (const seed of seeds) {
    for (const lossAt of [14_005, 14_100, 14_400]) {
      const done = playRollout({ seed, perS: 250, spanMs: 16_000, release: good, lossAt });
      assert.equal(done.order.phase, 'good');
      assert.equal(done.cutOff, 0);
      // One that is lost later is made good by its successor past the term: no old origin is stopped for that.
      assert.ok(done.judgedMs <= (lossAt < 14_200 ? 16_000 : 16_400));
    }
  }
});

void test('a fault that both releases share is not held against the new one', () => {
  for (const seed of seeds)
    for (const perS of [60, 250, 800])
      assertGood({ seed, perS, spanMs: 16_000, release: good, trouble: 0.15 });
});

void test('with low traffic the fixed allowance is enough', () => {
  for (const seed of seeds) {
    for (const perS of [1, 5, 15]) {
      assertGood({ seed, perS, spanMs: 16_000, release: good });
      for (const release of bads) {
        const done = playRollout({ seed, perS, spanMs: 16_000, release });
        assert.ok(
          done.exposed <= 0.1 * done.total + 50,
          JSON.stringify({ perS, release, ...done }),
        );
      }
    }
  }
});

void test('nothing is sent to a bad release, and all to one that has shifted and has live origins', () => {
  const release = fc.constantFrom('r1', 'r2', 'r3').map(toRelease);
  const phase = fc.constantFrom('none', 'trial', 'moving', 'good', 'bad');
  const unit = fc.double({ min: 0, max: 1, noNaN: true });
  fc.assert(
    fc.property(
      fc.option(release, { nil: undefined }),
      release,
      phase,
      unit,
      unit,
      fc.uniqueArray(release),
      fc.boolean(),
      (settled, target, is, share, chance, all, isFresh) => {
        const state = {
          ...releaseStateOf(settledRollout(service, settled), 0),
          target,
          phase: is,
          share,
        };
        const standing = new Set(all);
        const chosen = pickRelease(state, standing, 'a', chance, isFresh);
        const barred = is === 'bad' && settled !== target ? target : undefined;
        const open = all.filter((one) => one !== barred);
        assert.equal(chosen === undefined, open.length === 0);
        if (chosen === undefined) return;
        assert.ok(open.includes(chosen));
        if ((is === 'moving' || is === 'good') && standing.has(target))
          assert.equal(chosen, target);
        if (is === 'trial' && settled !== undefined && standing.has(settled) && chance >= share)
          assert.equal(chosen, settled);
        if (is === 'trial' && open.some((one) => one !== target) && !isFresh)
          assert.ok(chosen !== target || settled === target);
      },
    ),
  );
});

void test('a repeated request changes nothing, another one conflicts while a rollout is in progress', () => {
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
  // Its term is over, but who did not hear the answer may still send it again.
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

void test('requests of earlier rollouts are recognised for a bounded time, by target and span', () => {
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
    'another span is another order',
  );
  const moved: ReleaseRollout = { ...second, phase: 'good', settled: r3, spentMs: 16_000 };
  assert.deepEqual(requestReleaseRollout(moved, r3, newRelease, 16_000, 30_000), {
    kind: 'alreadyAccepted',
    rolloutNumber: first.order,
  });
  assert.equal(requestReleaseRollout(moved, r3, newRelease, 12_000, 30_000).kind, 'opened');
  assert.equal(
    requestReleaseRollout(moved, r3, newRelease, 16_000, releaseSettings.duplicateWindowMs).kind,
    'opened',
  );
});

void test('of many rollouts of a service a bounded number is kept', () => {
  let known = settledRollout(service, oldRelease);
  for (let at = 0; at < 100; at += 1) {
    const next = openedRollout(
      requestReleaseRollout(known, oldRelease, toRelease(`v${at}`), 1000, 1),
    );
    known = { ...next, phase: 'good' };
  }
  assert.equal(known.earlier.length, 16);
  assert.equal(
    requestReleaseRollout(known, oldRelease, toRelease('v90'), 1000, 1).kind,
    'alreadyAccepted',
  );
});
