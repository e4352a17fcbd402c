/** Guards against current frames dropped as expired, and expired ones accepted, because of clock offset or drift. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FrameAgeEstimator, frameLifetimeMs } from './frame-age.js';

void test('the age of a frame is its delay beyond the fastest frame, regardless of clock offset and drift', () => {
  const estimator = new FrameAgeEstimator();
  assert.equal(estimator.measure(5000, 100), 0, 'the first frame sets the clock offset');
  const slowerAgeMs = estimator.measure(5100, 203);
  assert.ok(slowerAgeMs > 2.8 && slowerAgeMs <= 3, String(slowerAgeMs));
  assert.equal(estimator.measure(5200, 300), 0, 'as fast as the first frame');
  assert.ok(estimator.measure(5300, 2400) > frameLifetimeMs, 'delayed by two seconds');
  // One clock runs 500 ppm faster than the other for a day.
  const drifting = new FrameAgeEstimator();
  for (let sentAt = 0; sentAt < 86_400_000; sentAt += 60_000)
    assert.ok(drifting.measure(sentAt, sentAt * 1.0005) < 100, String(sentAt));
  // A delay of twenty seconds is not mistaken for drift.
  assert.ok(drifting.measure(86_400_000, 86_400_000 * 1.0005 + 20_000) > 19_000);
});
