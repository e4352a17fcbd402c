/**
 * How much traffic a release on its canary gets: enough to be judged in time, and never more than the
 * rule allows a bad release to have, with a reserve for what is in flight and for the shift.
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
  totalSentIn,
  zeroCounts,
} from './canary-counts.js';
import type { ReleaseRollout } from './release-rollout.js';
import type { ReleaseSettings } from './settings.js';

/** What is known of a rollout at one point in time. */
export interface RolloutView {
  readonly now: Timestamp;
  readonly elapsedMs: number;
  /** The service's requests since the rollout began. */
  readonly totalRequests: number;
  /** Those of them that went to the target. */
  readonly canaryRequests: number;
  /** The service's request rate. */
  readonly requestsPerSecond: number;
  readonly counts: CountsByRelease;
  readonly hasLiveOrigins: (release: Release | undefined) => boolean;
  readonly watch: RolloutWatch;
  readonly settings: ReleaseSettings;
}

/** Over which time the request rate is measured. */
export const rateWindowMs = 1500;
/** Shares that differ by a smaller part are left as they are. */
const minShareChange = 0.35;
/** The parts of the allowance that the canary and the load probe may use; the rest is for requests in flight. */
export const canaryBudget = { pct: 0.85, slack: 0.7 };
/** The same for the load probe. */
export const probeBudget = { pct: 0.95, slack: 0.9 };
/** For how many seconds of full traffic budget is reserved: as long as it takes to see that a release fails once all traffic has shifted. */
const shiftReserveSeconds = 1;
/** With few requests a failure may stay unseen: then budget is reserved for the whole shift, if this many requests are left for the canary. */
const minCanaryBudget = 30;

const clamp = (low: number, raw: number, high: number): number =>
  Math.min(high, Math.max(low, raw));
/** A share with three decimals. */
export const roundShare = (raw: number): number => Math.round(raw * 1000) / 1000;

/** How long after its start a rollout shifts all traffic, in milliseconds. */
export const shiftStartMs = (rollout: ReleaseRollout, settings: ReleaseSettings): number =>
  Math.max(rollout.spanMs - settings.shiftLeadMs, rollout.spanMs / 2);

/** Looks at a rollout by what edges have reported so far. */
export const viewRollout = (
  rollout: ReleaseRollout,
  watch: RolloutWatch,
  liveOrigins: ReadonlyMap<Release, number>,
  now: Timestamp,
  settings: ReleaseSettings,
): RolloutView => {
  const all = allCounts(watch);
  const spentMs = Math.max(rollout.spentMs, elapsedAt(watch, now));
  // A new primary does not know all edges yet: what was written holds until they report more.
  const total = Math.max(rollout.total, totalSentIn(all));
  const target = rollout.target === undefined ? undefined : all.get(rollout.target);
  const used = Math.max(rollout.spent, sumOfClasses(target).sent);
  const window = Math.min(rateWindowMs, Math.max(250, now - watch.watchedSince));
  const recent = totalSentIn(
    countsSince(
      watch,
      watch.watchedSince > now - rateWindowMs ? watch.watchedSince : subtractMs(now, rateWindowMs),
    ),
  );
  const perS = Math.max(recent / window, total / Math.max(1000, spentMs)) * 1000;
  const stands = (release: Release | undefined): boolean =>
    release !== undefined && (liveOrigins.get(release) ?? 0) > 0;
  return {
    now,
    elapsedMs: spentMs,
    totalRequests: total,
    canaryRequests: used,
    requestsPerSecond: perS,
    counts: all,
    hasLiveOrigins: stands,
    watch,
    settings,
  };
};

/** How many requests the canary may still have, of a part of what the rule allows for the requests so far. */
export const remainingAllowance = (view: RolloutView, part: typeof canaryBudget): number =>
  part.pct * view.settings.canaryFraction * view.totalRequests +
  part.slack * view.settings.canaryAllowance -
  view.canaryRequests;

/** The largest share that any class sends to the target. */
export const currentShare = (rollout: ReleaseRollout): number =>
  Math.max(rollout.share, ...rollout.shares.map(({ share }) => share));

/** How many requests the canary may have in all, by what the rule is likely to allow by the deadline, less the shift's. */
export const canaryRequestBudget = (rollout: ReleaseRollout, view: RolloutView): number => {
  const { canaryFraction, canaryAllowance } = view.settings;
  const atTerm =
    view.totalRequests +
    (view.requestsPerSecond * Math.max(0, rollout.spanMs - view.elapsedMs)) / 1000;
  const allowed = probeBudget.pct * (canaryFraction * atTerm + canaryAllowance);
  const unseen =
    allowed -
    (view.requestsPerSecond * (rollout.spanMs - shiftStartMs(rollout, view.settings))) / 1000;
  return unseen >= minCanaryBudget
    ? unseen
    : allowed - shiftReserveSeconds * view.requestsPerSecond;
};

/** The request rate that the canary needs to be judged in time. */
const wantedCanaryRate = (rollout: ReleaseRollout, view: RolloutView): number =>
  (1000 *
    clamp(
      minCanaryBudget / 2,
      canaryRequestBudget(rollout, view),
      view.settings.minCanaryRequests,
    )) /
  shiftStartMs(rollout, view.settings);

/** The part of a rollout that says how much traffic the target gets. */
export type CanaryShares = Pick<ReleaseRollout, 'share' | 'shares'>;
/** No traffic to the target. */
export const noCanaryShare: CanaryShares = { share: 0, shares: [] };

/** The canary's share, and that of each class which needs another one to get its part of the responses. */
export const canaryShares = (rollout: ReleaseRollout, view: RolloutView): CanaryShares => {
  const { minCanaryShare, maxCanaryShare } = view.settings;
  const wanted = wantedCanaryRate(rollout, view);
  const groups = new Map<string, ReleaseCounts>();
  for (const rows of view.counts.values()) {
    for (const [group, one] of rows)
      groups.set(group, { ...zeroCounts, sent: (groups.get(group)?.sent ?? 0) + one.sent });
  }
  const sum = [...groups.values()].reduce((many, one) => many + one.sent, 0);
  const share =
    view.requestsPerSecond === 0
      ? maxCanaryShare
      : roundShare(clamp(minCanaryShare, wanted / view.requestsPerSecond, maxCanaryShare));
  const shares = [...groups].flatMap(([group, one]) => {
    const perS = sum === 0 ? 0 : (view.requestsPerSecond * one.sent) / sum;
    const own =
      perS === 0
        ? share
        : roundShare(clamp(minCanaryShare, wanted / groups.size / perS, maxCanaryShare));
    return own === share ? [] : [{ group, share: own }];
  });
  return { share, shares };
};

const differsNotably = (one: number, two: number): boolean =>
  Math.abs(one - two) > minShareChange * Math.max(one, two);
const classShare = (one: CanaryShares, group: string): number =>
  one.shares.find((row) => row.group === group)?.share ?? one.share;
/** Whether shares differ by enough to be written. */
export const sharesDiffer = (one: CanaryShares, two: CanaryShares): boolean =>
  differsNotably(one.share, two.share) ||
  [...one.shares, ...two.shares].some(({ group }) =>
    differsNotably(classShare(one, group), classShare(two, group)),
  );

/** The largest share that a load probe may have; it leaves what the rest of the canary needs. */
export const affordableProbeShare = (rollout: ReleaseRollout, view: RolloutView): number => {
  const { minCanaryShare, loadProbeMs, propagationMs } = view.settings;
  const cost = (view.requestsPerSecond * (loadProbeMs + propagationMs)) / 1000;
  if (cost === 0) return view.settings.loadProbeShare;
  const trialRate = Math.max(
    wantedCanaryRate(rollout, view),
    minCanaryShare * view.requestsPerSecond,
  );
  const left = Math.max(0, shiftStartMs(rollout, view.settings) - view.elapsedMs) / 1000;
  const whole = canaryRequestBudget(rollout, view) - view.canaryRequests - trialRate * left;
  return Math.min(
    view.settings.loadProbeShare,
    Math.min(remainingAllowance(view, probeBudget), whole) / cost,
  );
};
