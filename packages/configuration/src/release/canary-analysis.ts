/**
 * Whether a release on its canary is bad: its responses, as edges count them, are compared with
 * those of the release that the service is settled on, class by class and in all.
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

/** The spans over which responses are compared, as a failure may begin at any time. */
const windowsMs = [600, 1500, 4000, 8000] as const;
/** With fewer responses than this in a window, the baseline is all that the settled release ever gave. */
const minBaselineResponses = 10;
/** Origins in their slow start may have this many times the usual part of slow responses. */
const slowStartAllowance = 1.5;

/** What a comparison goes by. */
interface Comparison {
  /** Whether the release's origins may still be in their slow start. */
  readonly inSlowStart: boolean;
  readonly settings: ReleaseSettings;
}

const responseCount = ({ good, bad }: ReleaseCounts): number => good + bad;
const fraction = (part: number, whole: number): number => (whole === 0 ? 0 : part / whole);
const meanLatencyMs = (counts: ReleaseCounts): number =>
  fraction(counts.sumMs, responseCount(counts));

/**
 * Whether a part of a release's responses, those that failed or were slow, is too large: above the
 * limit and well above the baseline's rate, or, of many responses, far above it.
 */
const isElevated = (
  part: number,
  whole: number,
  baselineRate: number,
  maxRate: number,
  { minFailures, maxFailureRate }: ReleaseSettings,
): boolean => {
  const rate = fraction(part, whole);
  if (part >= minFailures && rate > maxRate && rate > 2 * baselineRate + 0.1) return true;
  if (maxRate > maxFailureRate) return false;
  return part >= 4 * minFailures && rate > 4 * baselineRate + 0.08;
};

/** Why a release's failed or slow responses are too many; undefined if they are not. */
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

/** Whether a release's mean latency is too high; few samples, and a slow start, need a clearer difference. */
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

/** Why a release is bad for one class of service; undefined if it is not. */
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

/** Counts of the two releases that are compared. */
interface ComparedReleases {
  readonly target: Release;
  readonly prior: Release | undefined;
}

/** Why a release is bad by the counts of one window, with all counts as the fallback of the baseline. */
const failureReasonWithin = (
  window: CountsByRelease,
  all: CountsByRelease,
  { target, prior }: ComparedReleases,
  comparison: Comparison,
): string | undefined => {
  const canary = window.get(target) ?? new Map<string, ReleaseCounts>();
  const recent = prior === undefined ? undefined : window.get(prior);
  const ever = prior === undefined ? undefined : all.get(prior);
  // Once all traffic has moved, the settled release has no recent responses any more.
  const hasEnough = (counts: ReleaseCounts): boolean =>
    responseCount(counts) >= minBaselineResponses;
  for (const [className, counts] of canary) {
    const recentCounts = recent?.get(className) ?? zeroCounts;
    const baseline = hasEnough(recentCounts) ? recentCounts : (ever?.get(className) ?? zeroCounts);
    const reason = classFailureReason(counts, baseline, comparison);
    if (reason !== undefined) return `${className}: ${reason}`;
  }
  const recentSum = sumOfClasses(recent);
  const baseline = hasEnough(recentSum) ? recentSum : sumOfClasses(ever);
  return elevatedRateReason(sumOfClasses(canary), baseline, comparison);
};

/** Why a release is bad, by what edges have reported so far; undefined if it is not known to be. */
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
