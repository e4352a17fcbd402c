/** Ages of frames between unsynchronized clocks. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FrameAgeEstimator, frameLifetimeMs } from './frame-age.js';

void test("a frame's age is what exceeds the fastest frame, whatever the two clocks show and however they drift", () => {
  const age = new FrameAgeEstimator();
  assert.equal(age.measure(5000, 100), 0, 'the first one sets the difference');
  const slower = age.measure(5100, 203);
  assert.ok(slower > 2.8 && slower <= 3, String(slower));
  assert.equal(age.measure(5200, 300), 0, 'as quick as the first');
  assert.ok(age.measure(5300, 2400) > frameLifetimeMs, 'held back for two seconds');
  // One clock runs 500 ppm faster than the other for a day.
  const drifting = new FrameAgeEstimator();
  for (let at = 0; at < 86_400_000; at += 60_000)
    assert.ok(drifting.measure(at, at * 1.0005) < 100, String(at));
  // A stall of twenty seconds is not taken for drift.
  assert.ok(drifting.measure(86_400_000, 86_400_000 * 1.0005 + 20_000) > 19_000);
});
