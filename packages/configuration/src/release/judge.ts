import { type Timestamp, type Release, subtractMs } from '@switchwheel/types';
import type { ReleaseSettings } from './settings.js';
import {
  type Counts,
  type Sums,
  type Watch,
  noCounts,
  spentAt,
  sumAll,
  sumSince,
  totalOf,
} from './tally.js';

/** The spans over which answers are looked at: a fault may begin at any time. */
const windows = [600, 1500, 4000, 8000] as const;
const answered = (one: Counts): number => one.good + one.bad;
const rate = (part: number, whole: number): number => (whole === 0 ? 0 : part / whole);
const meanOf = (one: Counts): number => rate(one.sumMs, answered(one));

/** Whether many of a release's answers failed, or were slow, and few of the settled one's. */
const many = (
  part: number,
  whole: number,
  other: number,
  least: number,
  settings: ReleaseSettings,
): boolean => {
  const share = rate(part, whole);
  if (part >= settings.badLeast && share > least && share > 2 * other + 0.1) return true;
  if (least > settings.badShare) return false;
  return part >= 4 * settings.badLeast && share > 4 * other + 0.08;
};

/** Whether a release's answers take much longer; new origins are slow for a while, and few answers tell little. */
const drags = (one: Counts, other: Counts, cold: boolean, settings: ReleaseSettings): boolean => {
  const usual = meanOf(other);
  const enough = answered(one) >= settings.slowLeast && answered(other) >= settings.slowLeast;
  if (!enough || usual === 0) return false;
  const ratio = meanOf(one) / usual;
  if (cold) return ratio > 2 * settings.slowRatio;
  return ratio > settings.slowRatio * (answered(one) >= 4 * settings.slowLeast ? 1 : 1.5);
};

const slowShare = (cold: boolean, settings: ReleaseSettings): number =>
  (cold ? 1.5 : 1) * settings.badShare;

const reasonIn = (
  one: Counts,
  other: Counts,
  cold: boolean,
  settings: ReleaseSettings,
): string | undefined => {
  if (many(one.bad, answered(one), rate(other.bad, answered(other)), settings.badShare, settings))
    return `${one.bad} of ${answered(one)} answers failed`;
  if (
    many(
      one.slow,
      answered(one),
      rate(other.slow, answered(other)),
      slowShare(cold, settings),
      settings,
    )
  )
    return `${one.slow} of ${answered(one)} answers were slow`;
  if (drags(one, other, cold, settings))
    return `answers took ${Math.round(meanOf(one))} ms in place of ${Math.round(meanOf(other))}`;
  return undefined;
};

const enoughToCompare = 10;

const reasonOf = (
  sums: Sums,
  all: Sums,
  target: Release,
  prior: Release | undefined,
  cold: boolean,
  settings: ReleaseSettings,
): string | undefined => {
  const groups = sums.get(target) ?? new Map<string, Counts>();
  const old = prior === undefined ? undefined : sums.get(prior);
  const ever = prior === undefined ? undefined : all.get(prior);
  // Once all traffic moved the settled release has no answers any more: then all it gave count.
  const other = (group: string): Counts => {
    const here = old?.get(group) ?? noCounts;
    return answered(here) >= enoughToCompare ? here : (ever?.get(group) ?? noCounts);
  };
  for (const [group, one] of groups) {
    const found = reasonIn(one, other(group), cold, settings);
    if (found !== undefined) return `${group}: ${found}`;
  }
  const whole = totalOf(groups);
  const rest = answered(totalOf(old)) >= enoughToCompare ? totalOf(old) : totalOf(ever);
  if (many(whole.bad, answered(whole), rate(rest.bad, answered(rest)), settings.badShare, settings))
    return `${whole.bad} of ${answered(whole)} answers failed`;
  if (
    many(
      whole.slow,
      answered(whole),
      rate(rest.slow, answered(rest)),
      slowShare(cold, settings),
      settings,
    )
  )
    return `${whole.slow} of ${answered(whole)} answers were slow`;
  return undefined;
};

/** Why a release is bad, by what edges counted up to now; nothing if it is not known to be. */
export const releaseFault = (
  one: Watch,
  target: Release,
  prior: Release | undefined,
  now: Timestamp,
  settings: ReleaseSettings,
): string | undefined => {
  const all = sumAll(one);
  const spent = spentAt(one, now);
  for (const span of windows) {
    const sums = sumSince(one, subtractMs(now, span));
    const found = reasonOf(sums, all, target, prior, spent - span < settings.coldMs, settings);
    if (found !== undefined) return found;
  }
  return reasonOf(all, all, target, prior, true, settings);
};
