/**
 * Canary traffic: computes shares that give the analysis enough responses before the deadline, and
 * keep the requests that a bad release may receive within the allowance, with a reserve for
 * requests in flight and for the shift.
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

/** Progress and counts of a rollout at one point in time. */
export interface RolloutView {
  readonly now: Timestamp;
  readonly elapsedMs: number;
  /** Requests of the service since the rollout began. */
  readonly totalRequests: number;
  /** Requests sent to the target release since the rollout began. */
  readonly canaryRequests: number;
  /** Request rate of the service. */
  readonly requestsPerSecond: number;
  readonly counts: CountsByRelease;
  readonly hasLiveOrigins: (release: Release | undefined) => boolean;
  readonly watch: RolloutWatch;
  readonly settings: ReleaseSettings;
}

/** Window over which the request rate is measured. */
export const rateWindowMs = 1500;
/** Relative difference of shares below which the stored shares are kept. */
const minShareChange = 0.35;
/** Fractions of the allowance that the canary may use; the rest is reserved for requests in flight. */
export const canaryBudget = { shareFactor: 0.85, allowanceFactor: 0.7 };
/** Fractions of the allowance that the load probe may use. */
export const probeBudget = { shareFactor: 0.95, allowanceFactor: 0.9 };
/** Seconds of full traffic reserved for detecting a failure after all traffic has shifted. */
const shiftReserveSeconds = 1;
/**
 * Minimum canary budget, in requests, for reserving all requests of the shift, as with little traffic a
 * failure may not be detected before the shift ends. Otherwise only `shiftReserveSeconds` are reserved.
 */
const minCanaryBudget = 30;

const clamp = (low: number, raw: number, high: number): number =>
  Math.min(high, Math.max(low, raw));
/** Rounds a share to three decimals. */
export const roundShare = (raw: number): number => Math.round(raw * 1000) / 1000;

/** Time after the start of a rollout at which all traffic shifts, in milliseconds. */
export const shiftStartMs = (rollout: ReleaseRollout, settings: ReleaseSettings): number =>
  Math.max(rollout.spanMs - settings.shiftLeadMs, rollout.spanMs / 2);

/** Builds the view of a rollout from the counts that edges have reported so far. */
export const viewRollout = (
  rollout: ReleaseRollout,
  watch: RolloutWatch,
  liveOrigins: ReadonlyMap<Release, number>,
  now: Timestamp,
  settings: ReleaseSettings,
): RolloutView => {
  const all = allCounts(watch);
  const elapsedMs = Math.max(rollout.spentMs, elapsedAt(watch, now));
  // A new primary may not have reports of all edges yet: the stored counts are the minimum.
  const total = Math.max(rollout.total, totalSentIn(all));
  const target = rollout.target === undefined ? undefined : all.get(rollout.target);
  const canaryRequests = Math.max(rollout.spent, sumOfClasses(target).sent);
  const windowMs = Math.min(rateWindowMs, Math.max(250, now - watch.watchedSince));
  const recentRequests = totalSentIn(
    countsSince(
      watch,
      watch.watchedSince > now - rateWindowMs ? watch.watchedSince : subtractMs(now, rateWindowMs),
    ),
  );
  const requestsPerSecond =
    Math.max(recentRequests / windowMs, total / Math.max(1000, elapsedMs)) * 1000;
  const hasLiveOrigins = (release: Release | undefined): boolean =>
    release !== undefined && (liveOrigins.get(release) ?? 0) > 0;
  return {
    now,
    elapsedMs,
    totalRequests: total,
    canaryRequests,
    requestsPerSecond,
    counts: all,
    hasLiveOrigins,
    watch,
    settings,
  };
};

/** Number of requests that the canary may still receive within a budget, given the requests so far. */
export const remainingAllowance = (view: RolloutView, budget: typeof canaryBudget): number =>
  budget.shareFactor * view.settings.canaryFraction * view.totalRequests +
  budget.allowanceFactor * view.settings.canaryAllowance -
  view.canaryRequests;

/** Largest share that any class sends to the target. */
export const currentShare = (rollout: ReleaseRollout): number =>
  Math.max(rollout.share, ...rollout.shares.map(({ share }) => share));

/** Total number of requests that the canary may receive: the allowance expected at the deadline less the shift's reserve. */
export const canaryRequestBudget = (rollout: ReleaseRollout, view: RolloutView): number => {
  const { canaryFraction, canaryAllowance } = view.settings;
  const requestsAtDeadline =
    view.totalRequests +
    (view.requestsPerSecond * Math.max(0, rollout.spanMs - view.elapsedMs)) / 1000;
  const allowed = probeBudget.shareFactor * (canaryFraction * requestsAtDeadline + canaryAllowance);
  const withoutShift =
    allowed -
    (view.requestsPerSecond * (rollout.spanMs - shiftStartMs(rollout, view.settings))) / 1000;
  return withoutShift >= minCanaryBudget
    ? withoutShift
    : allowed - shiftReserveSeconds * view.requestsPerSecond;
};

/** Request rate per second that gives the canary enough requests before the shift. */
const wantedCanaryRate = (rollout: ReleaseRollout, view: RolloutView): number =>
  (1000 *
    clamp(
      minCanaryBudget / 2,
      canaryRequestBudget(rollout, view),
      view.settings.minCanaryRequests,
    )) /
  shiftStartMs(rollout, view.settings);

/** Share of the traffic that the target gets: the default, and those of classes that differ from it. */
export type CanaryShares = Pick<ReleaseRollout, 'share' | 'shares'>;
/** Shares that send no traffic to the target. */
export const noCanaryShare: CanaryShares = { share: 0, shares: [] };

/** Computes the canary's share, and a share of its own for each class that needs another one to get enough responses. */
export const canaryShares = (rollout: ReleaseRollout, view: RolloutView): CanaryShares => {
  const { minCanaryShare, maxCanaryShare } = view.settings;
  const wanted = wantedCanaryRate(rollout, view);
  const groups = new Map<string, ReleaseCounts>();
  for (const rows of view.counts.values()) {
    for (const [group, counts] of rows)
      groups.set(group, { ...zeroCounts, sent: (groups.get(group)?.sent ?? 0) + counts.sent });
  }
  const totalSent = [...groups.values()].reduce((sum, counts) => sum + counts.sent, 0);
  const share =
    view.requestsPerSecond === 0
      ? maxCanaryShare
      : roundShare(clamp(minCanaryShare, wanted / view.requestsPerSecond, maxCanaryShare));
  const shares = [...groups].flatMap(([group, counts]) => {
    const requestsPerSecond =
      totalSent === 0 ? 0 : (view.requestsPerSecond * counts.sent) / totalSent;
    const groupShare =
      requestsPerSecond === 0
        ? share
        : roundShare(
            clamp(minCanaryShare, wanted / groups.size / requestsPerSecond, maxCanaryShare),
          );
    return groupShare === share ? [] : [{ group, share: groupShare }];
  });
  return { share, shares };
};

const differsNotably = (first: number, second: number): boolean =>
  Math.abs(first - second) > minShareChange * Math.max(first, second);
const classShare = (canary: CanaryShares, group: string): number =>
  canary.shares.find((row) => row.group === group)?.share ?? canary.share;
/** Whether new shares differ enough from the stored ones to be written. */
export const sharesDiffer = (stored: CanaryShares, next: CanaryShares): boolean =>
  differsNotably(stored.share, next.share) ||
  [...stored.shares, ...next.shares].some(({ group }) =>
    differsNotably(classShare(stored, group), classShare(next, group)),
  );

/** Largest share for a load probe that leaves enough budget for the rest of the canary. */
export const affordableProbeShare = (rollout: ReleaseRollout, view: RolloutView): number => {
  const { minCanaryShare, loadProbeMs, propagationMs } = view.settings;
  const probeRequests = (view.requestsPerSecond * (loadProbeMs + propagationMs)) / 1000;
  if (probeRequests === 0) return view.settings.loadProbeShare;
  const canaryRate = Math.max(
    wantedCanaryRate(rollout, view),
    minCanaryShare * view.requestsPerSecond,
  );
  const remainingSeconds =
    Math.max(0, shiftStartMs(rollout, view.settings) - view.elapsedMs) / 1000;
  const remainingBudget =
    canaryRequestBudget(rollout, view) - view.canaryRequests - canaryRate * remainingSeconds;
  return Math.min(
    view.settings.loadProbeShare,
    Math.min(remainingAllowance(view, probeBudget), remainingBudget) / probeRequests,
  );
};
