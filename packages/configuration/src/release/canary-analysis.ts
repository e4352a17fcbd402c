/**
 * Canary analysis: compares the responses of a release with those of the settled release, for each
 * class of service and over all classes, and decides whether the release is bad.
 */

import { type Release, type Timestamp, subtractMs } from '@switchwheel/types';
import {
  type CountsByRelease,
  type ReleaseCounts,
  type RolloutWatch,
  allCounts,
  countsSince,
  elapsedAt,
  sumOfClasses,
  zeroCounts,
} from './canary-counts.js';
import type { ReleaseSettings } from './settings.js';

/** Lengths of the windows that are compared; short ones detect a failure that begins late. */
const windowsMs = [600, 1500, 4000, 8000] as const;
/** With fewer responses in a window, the baseline is all responses of the settled release. */
const minBaselineResponses = 10;
/** Factor by which the rate of slow responses may be higher while origins are in their slow start. */
const slowStartAllowance = 1.5;

interface Comparison {
  /** Whether the release's origins may still be in their slow start. */
  readonly inSlowStart: boolean;
  readonly settings: ReleaseSettings;
}

const responseCount = ({ good, bad }: ReleaseCounts): number => good + bad;
const fraction = (part: number, total: number): number => (total === 0 ? 0 : part / total);
const meanLatencyMs = (counts: ReleaseCounts): number =>
  fraction(counts.sumMs, responseCount(counts));

/**
 * Whether failed (or slow) responses are too many: their rate is over the limit and well above the
 * baseline's, or there are many of them and their rate is far above the baseline's.
 */
const isElevated = (
  failures: number,
  total: number,
  baselineRate: number,
  maxRate: number,
  { minFailures, maxFailureRate }: ReleaseSettings,
): boolean => {
  const rate = fraction(failures, total);
  if (failures >= minFailures && rate > maxRate && rate > 2 * baselineRate + 0.1) return true;
  if (maxRate > maxFailureRate) return false;
  return failures >= 4 * minFailures && rate > 4 * baselineRate + 0.08;
};

/** Reason for rejecting a release by its failed or slow responses; undefined if there is none. */
const elevatedRateReason = (
  canary: ReleaseCounts,
  baseline: ReleaseCounts,
  { inSlowStart, settings }: Comparison,
): string | undefined => {
  const responses = responseCount(canary);
  const baselineResponses = responseCount(baseline);
  const maxRate = settings.maxFailureRate;
  const failureRate = fraction(baseline.bad, baselineResponses);
  if (isElevated(canary.bad, responses, failureRate, maxRate, settings))
    return `${canary.bad} of ${responses} answers failed`;
  const maxSlowRate = (inSlowStart ? slowStartAllowance : 1) * maxRate;
  const slowRate = fraction(baseline.slow, baselineResponses);
  if (isElevated(canary.slow, responses, slowRate, maxSlowRate, settings))
    return `${canary.slow} of ${responses} answers were slow`;
  return undefined;
};

/** Whether a release's mean latency is too high. The limit is wider with few samples and during a slow start. */
const isSlower = (
  canary: ReleaseCounts,
  baseline: ReleaseCounts,
  { inSlowStart, settings }: Comparison,
): boolean => {
  const { minLatencySamples, maxLatencyRatio } = settings;
  const baselineMs = meanLatencyMs(baseline);
  const hasSamples =
    responseCount(canary) >= minLatencySamples && responseCount(baseline) >= minLatencySamples;
  if (!hasSamples || baselineMs === 0) return false;
  const ratio = meanLatencyMs(canary) / baselineMs;
  if (inSlowStart) return ratio > 2 * maxLatencyRatio;
  return ratio > maxLatencyRatio * (responseCount(canary) >= 4 * minLatencySamples ? 1 : 1.5);
};

/** Reason for rejecting a release by one class of service; undefined if there is none. */
const classFailureReason = (
  canary: ReleaseCounts,
  baseline: ReleaseCounts,
  comparison: Comparison,
): string | undefined => {
  const reason = elevatedRateReason(canary, baseline, comparison);
  if (reason !== undefined) return reason;
  return isSlower(canary, baseline, comparison)
    ? `answers took ${Math.round(meanLatencyMs(canary))} ms in place of ${Math.round(meanLatencyMs(baseline))}`
    : undefined;
};

interface ComparedReleases {
  readonly target: Release;
  readonly prior: Release | undefined;
}

/** Reason for rejecting a release by one window; a baseline with too few responses falls back to all counts. */
const failureReasonWithin = (
  window: CountsByRelease,
  all: CountsByRelease,
  { target, prior }: ComparedReleases,
  comparison: Comparison,
): string | undefined => {
  const canary = window.get(target) ?? new Map<string, ReleaseCounts>();
  const recent = prior === undefined ? undefined : window.get(prior);
  const total = prior === undefined ? undefined : all.get(prior);
  // After all traffic has shifted, the settled release has no recent responses.
  const hasEnough = (counts: ReleaseCounts): boolean =>
    responseCount(counts) >= minBaselineResponses;
  for (const [className, counts] of canary) {
    const recentCounts = recent?.get(className) ?? zeroCounts;
    const baseline = hasEnough(recentCounts) ? recentCounts : (total?.get(className) ?? zeroCounts);
    const reason = classFailureReason(counts, baseline, comparison);
    if (reason !== undefined) return `${className}: ${reason}`;
  }
  const recentSum = sumOfClasses(recent);
  const baseline = hasEnough(recentSum) ? recentSum : sumOfClasses(total);
  return elevatedRateReason(sumOfClasses(canary), baseline, comparison);
};

/** Reason for rejecting the target release by all counts so far; undefined if there is none. */
export const releaseFailureReason = (
  watch: RolloutWatch,
  target: Release,
  prior: Release | undefined,
  now: Timestamp,
  settings: ReleaseSettings,
): string | undefined => {
  const releases = { target, prior };
  const all = allCounts(watch);
  const elapsed = elapsedAt(watch, now);
  for (const windowMs of windowsMs) {
    const window = countsSince(watch, subtractMs(now, windowMs));
    const inSlowStart = elapsed - windowMs < settings.slowStartMs;
    const reason = failureReasonWithin(window, all, releases, { inSlowStart, settings });
    if (reason !== undefined) return reason;
  }
  return failureReasonWithin(all, all, releases, { inSlowStart: true, settings });
};
