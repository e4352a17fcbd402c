import { type Timestamp, type Release, subtractMs } from '@switchwheel/types';
import type { ReleaseSettings } from './settings.js';
import {
  type ReleaseCounts,
  type CountsByRelease,
  type RolloutWatch,
  zeroCounts,
  elapsedAt,
  allCounts,
  countsSince,
  sumOfClasses,
} from './canary-counts.js';

/** The spans over which answers are looked at: a fault may begin at any time. */
const windowsMs = [600, 1500, 4000, 8000] as const;
const responseCount = (one: ReleaseCounts): number => one.good + one.bad;
const fraction = (part: number, whole: number): number => (whole === 0 ? 0 : part / whole);
const meanLatencyMs = (one: ReleaseCounts): number => fraction(one.sumMs, responseCount(one));

/** Whether many of a release's answers failed, or were slow, and few of the settled one's. */
const isElevated = (
  part: number,
  whole: number,
  other: number,
  least: number,
  settings: ReleaseSettings,
): boolean => {
  const share = fraction(part, whole);
  if (part >= settings.minFailures && share > least && share > 2 * other + 0.1) return true;
  if (least > settings.maxFailureRate) return false;
  return part >= 4 * settings.minFailures && share > 4 * other + 0.08;
};

/** Whether a release's answers take much longer; new origins are slow for a while, and few answers tell little. */
const isSlower = (
  one: ReleaseCounts,
  other: ReleaseCounts,
  cold: boolean,
  settings: ReleaseSettings,
): boolean => {
  const usual = meanLatencyMs(other);
  const enough =
    responseCount(one) >= settings.minLatencySamples &&
    responseCount(other) >= settings.minLatencySamples;
  if (!enough || usual === 0) return false;
  const ratio = meanLatencyMs(one) / usual;
  if (cold) return ratio > 2 * settings.maxLatencyRatio;
  return (
    ratio >
    settings.maxLatencyRatio * (responseCount(one) >= 4 * settings.minLatencySamples ? 1 : 1.5)
  );
};

const maxSlowRate = (cold: boolean, settings: ReleaseSettings): number =>
  (cold ? 1.5 : 1) * settings.maxFailureRate;

const classFailureReason = (
  one: ReleaseCounts,
  other: ReleaseCounts,
  cold: boolean,
  settings: ReleaseSettings,
): string | undefined => {
  if (
    isElevated(
      one.bad,
      responseCount(one),
      fraction(other.bad, responseCount(other)),
      settings.maxFailureRate,
      settings,
    )
  )
    return `${one.bad} of ${responseCount(one)} answers failed`;
  if (
    isElevated(
      one.slow,
      responseCount(one),
      fraction(other.slow, responseCount(other)),
      maxSlowRate(cold, settings),
      settings,
    )
  )
    return `${one.slow} of ${responseCount(one)} answers were slow`;
  if (isSlower(one, other, cold, settings))
    return `answers took ${Math.round(meanLatencyMs(one))} ms in place of ${Math.round(meanLatencyMs(other))}`;
  return undefined;
};

const minBaselineResponses = 10;

const failureReasonWithin = (
  sums: CountsByRelease,
  all: CountsByRelease,
  target: Release,
  prior: Release | undefined,
  cold: boolean,
  settings: ReleaseSettings,
): string | undefined => {
  const groups = sums.get(target) ?? new Map<string, ReleaseCounts>();
  const old = prior === undefined ? undefined : sums.get(prior);
  const ever = prior === undefined ? undefined : all.get(prior);
  // Once all traffic moved the settled release has no answers any more: then all it gave count.
  const other = (group: string): ReleaseCounts => {
    const here = old?.get(group) ?? zeroCounts;
    return responseCount(here) >= minBaselineResponses ? here : (ever?.get(group) ?? zeroCounts);
  };
  for (const [group, one] of groups) {
    const found = classFailureReason(one, other(group), cold, settings);
    if (found !== undefined) return `${group}: ${found}`;
  }
  const whole = sumOfClasses(groups);
  const rest =
    responseCount(sumOfClasses(old)) >= minBaselineResponses
      ? sumOfClasses(old)
      : sumOfClasses(ever);
  if (
    isElevated(
      whole.bad,
      responseCount(whole),
      fraction(rest.bad, responseCount(rest)),
      settings.maxFailureRate,
      settings,
    )
  )
    return `${whole.bad} of ${responseCount(whole)} answers failed`;
  if (
    isElevated(
      whole.slow,
      responseCount(whole),
      fraction(rest.slow, responseCount(rest)),
      maxSlowRate(cold, settings),
      settings,
    )
  )
    return `${whole.slow} of ${responseCount(whole)} answers were slow`;
  return undefined;
};

/** Why a release is bad, by what edges counted up to now; nothing if it is not known to be. */
export const releaseFailureReason = (
  one: RolloutWatch,
  target: Release,
  prior: Release | undefined,
  now: Timestamp,
  settings: ReleaseSettings,
): string | undefined => {
  const all = allCounts(one);
  const spent = elapsedAt(one, now);
  for (const span of windowsMs) {
    const sums = countsSince(one, subtractMs(now, span));
    const found = failureReasonWithin(
      sums,
      all,
      target,
      prior,
      spent - span < settings.slowStartMs,
      settings,
    );
    if (found !== undefined) return found;
  }
  return failureReasonWithin(all, all, target, prior, true, settings);
};
