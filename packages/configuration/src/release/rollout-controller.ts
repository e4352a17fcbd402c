/**
 * State machine of a release rollout: canary, load probe during the canary, shift of all traffic,
 * and the result `good` or `bad`. `canary-share.ts` computes the canary's traffic, and
 * `canary-analysis.ts` decides whether a release fails.
 */

import { type Release, type Timestamp, nextSeq } from '@switchwheel/types';
import { releaseFailureReason } from './canary-analysis.js';
import { type RolloutWatch, isDrained, sumOfClasses } from './canary-counts.js';
import {
  type RolloutView,
  affordableProbeShare,
  canaryBudget,
  canaryRequestBudget,
  canaryShares,
  currentShare,
  noCanaryShare,
  probeBudget,
  rateWindowMs,
  remainingAllowance,
  roundShare,
  sharesDiffer,
  shiftStartMs,
  viewRollout,
} from './canary-share.js';
import { type ReleaseRollout, isInProgress } from './release-rollout.js';
import type { ReleaseSettings } from './settings.js';

/** Interval between writes of the progress while nothing else changes. */
const writeIntervalMs = 1000;
/** Minimum time between the decision and the rollout's deadline. */
const deadlineMarginMs = 500;
const minGoodResponses = 8;
const minProbeShare = 0.08;
const preferredProbeShare = 0.3;
/** Below this request rate a canary pauses once its budget is used up; above it, it keeps the minimum share. */
const lowTrafficPerSecond = 100;

const withProgress = (rollout: ReleaseRollout, view: RolloutView): ReleaseRollout => ({
  ...rollout,
  spentMs: view.elapsedMs,
  total: view.totalRequests,
  spent: view.canaryRequests,
});

const withChange = (
  rollout: ReleaseRollout,
  view: RolloutView,
  change: Partial<ReleaseRollout>,
): ReleaseRollout => ({
  ...withProgress(rollout, view),
  ...change,
  serial: nextSeq(rollout.serial),
});

const markFailed = (rollout: ReleaseRollout, view: RolloutView, text: string): ReleaseRollout =>
  withChange(rollout, view, { ...noCanaryShare, phase: 'bad', settled: rollout.prior, text });

/** Starts the load probe if it is due, or skips it if the budget is still too small when time runs out. */
const startLoadProbe = (rollout: ReleaseRollout, view: RolloutView): ReleaseRollout | undefined => {
  const { slowStartMs, loadProbeMs } = view.settings;
  if (rollout.probe !== 'due' || view.elapsedMs < Math.min(slowStartMs, 0.4 * rollout.spanMs))
    return undefined;
  const isLastChance =
    view.elapsedMs >= shiftStartMs(rollout, view.settings) - loadProbeMs - rateWindowMs;
  const canaryCounts = sumOfClasses(
    rollout.target === undefined ? undefined : view.counts.get(rollout.target),
  );
  const share = roundShare(affordableProbeShare(rollout, view));
  if (!isLastChance && (share < preferredProbeShare || canaryCounts.good < minGoodResponses))
    return undefined;
  if (share < minProbeShare || share <= currentShare(rollout))
    return withChange(rollout, view, { probe: 'done' });
  return withChange(rollout, view, { probe: 'on', probedMs: view.elapsedMs, share, shares: [] });
};

const advanceCanary = (rollout: ReleaseRollout, view: RolloutView): ReleaseRollout => {
  const { settings, elapsedMs } = view;
  const hasOrigins = view.hasLiveOrigins(rollout.target);
  if (elapsedMs >= shiftStartMs(rollout, settings) && hasOrigins)
    return withChange(rollout, view, { ...noCanaryShare, phase: 'moving', movedMs: elapsedMs });
  if (elapsedMs >= rollout.spanMs - deadlineMarginMs && !hasOrigins)
    return markFailed(rollout, view, 'no origin of it stands');
  // Requests that still reach the canary until a smaller share has arrived at all edges.
  const margin = (currentShare(rollout) * view.requestsPerSecond * settings.propagationMs) / 1000;
  if (rollout.probe === 'on') {
    const isProbeOver =
      elapsedMs - rollout.probedMs >= settings.loadProbeMs ||
      remainingAllowance(view, probeBudget) <= margin;
    return isProbeOver
      ? withChange(rollout, view, { probe: 'done', ...canaryShares(rollout, view) })
      : rollout;
  }
  if (
    remainingAllowance(view, canaryBudget) <= margin ||
    (view.requestsPerSecond < lowTrafficPerSecond &&
      canaryRequestBudget(rollout, view) <= view.canaryRequests)
  )
    return currentShare(rollout) === 0 ? rollout : withChange(rollout, view, noCanaryShare);
  const withProbe = hasOrigins ? startLoadProbe(rollout, view) : undefined;
  if (withProbe !== undefined) return withProbe;
  if (elapsedMs - rollout.spentMs < writeIntervalMs) return rollout;
  const shares = canaryShares(rollout, view);
  return sharesDiffer(rollout, shares) ? withChange(rollout, view, shares) : rollout;
};

const advanceShift = (rollout: ReleaseRollout, view: RolloutView): ReleaseRollout => {
  const { minShiftMs, maxShiftMs } = view.settings;
  // A new primary counts from its own start: its predecessor may not have sent the shift to any edge.
  const shiftMs = Math.min(view.elapsedMs - rollout.movedMs, view.now - view.watch.watchedSince);
  const isLate = view.elapsedMs >= rollout.spanMs - deadlineMarginMs;
  const isDone =
    shiftMs >= minShiftMs && (isDrained(view.watch, rollout.serial, view.now) || isLate);
  if (!isDone && shiftMs < maxShiftMs) return rollout;
  return withChange(rollout, view, { phase: 'good', settled: rollout.target });
};

/**
 * Advances a rollout by the time that has passed and the counts that edges have reported. Returns
 * the same object if nothing changes.
 */
export const advanceReleaseRollout = (
  rollout: ReleaseRollout,
  watch: RolloutWatch,
  liveOrigins: ReadonlyMap<Release, number>,
  now: Timestamp,
  settings: ReleaseSettings,
): ReleaseRollout => {
  const target = rollout.target;
  if (
    target === undefined ||
    rollout.phase === 'none' ||
    rollout.phase === 'bad' ||
    watch.rolloutNumber !== rollout.order
  )
    return rollout;
  const view = viewRollout(rollout, watch, liveOrigins, now, settings);
  if (rollout.phase === 'good') {
    // A good release can be rolled back only before the deadline and while the prior one has live origins.
    if (
      view.elapsedMs >= rollout.spanMs ||
      rollout.prior === target ||
      !view.hasLiveOrigins(rollout.prior)
    )
      return rollout;
    const text = releaseFailureReason(watch, target, rollout.prior, now, settings);
    return text === undefined ? rollout : markFailed(rollout, view, text);
  }
  const text = releaseFailureReason(watch, target, rollout.prior, now, settings);
  if (text !== undefined) return markFailed(rollout, view, text);
  const next =
    rollout.phase === 'trial' ? advanceCanary(rollout, view) : advanceShift(rollout, view);
  if (next !== rollout) return next;
  return isInProgress(rollout) && view.elapsedMs - rollout.spentMs >= writeIntervalMs
    ? withProgress(rollout, view)
    : rollout;
};
