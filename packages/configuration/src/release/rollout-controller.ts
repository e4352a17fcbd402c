/**
 * The phases of a release rollout: a canary, a load probe in it, the shift of all traffic, and a
 * verdict that is good or bad. How much traffic the canary gets is `canary-share.ts`'s part, and
 * whether a release fails that of `canary-analysis.ts`.
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

/** How often progress is written while nothing else changes. */
const writeIntervalMs = 1000;
/** How long before its deadline a rollout is judged at the latest. */
const deadlineMarginMs = 500;
const minGoodResponses = 8;
const minProbeShare = 0.08;
const preferredProbeShare = 0.3;
/** Below this rate a canary pauses when its budget is used up; above it the least share is needed for a judgement. */
const lowTrafficPerSecond = 100;

/** The rollout with its progress so far. */
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

/** Starts the load probe if it is due, or gives it up at the last moment if the budget is too small. */
const startLoadProbe = (rollout: ReleaseRollout, view: RolloutView): ReleaseRollout | undefined => {
  const { slowStartMs, loadProbeMs } = view.settings;
  if (rollout.probe !== 'due' || view.elapsedMs < Math.min(slowStartMs, 0.4 * rollout.spanMs))
    return undefined;
  const last = view.elapsedMs >= shiftStartMs(rollout, view.settings) - loadProbeMs - rateWindowMs;
  const seen = sumOfClasses(
    rollout.target === undefined ? undefined : view.counts.get(rollout.target),
  );
  const share = roundShare(affordableProbeShare(rollout, view));
  if (!last && (share < preferredProbeShare || seen.good < minGoodResponses)) return undefined;
  if (share < minProbeShare || share <= currentShare(rollout))
    return withChange(rollout, view, { probe: 'done' });
  return withChange(rollout, view, { probe: 'on', probedMs: view.elapsedMs, share, shares: [] });
};

const advanceCanary = (rollout: ReleaseRollout, view: RolloutView): ReleaseRollout => {
  const { settings, elapsedMs } = view;
  const stands = view.hasLiveOrigins(rollout.target);
  if (elapsedMs >= shiftStartMs(rollout, settings) && stands)
    return withChange(rollout, view, { ...noCanaryShare, phase: 'moving', movedMs: elapsedMs });
  if (elapsedMs >= rollout.spanMs - deadlineMarginMs && !stands)
    return markFailed(rollout, view, 'no origin of it stands');
  const margin = (currentShare(rollout) * view.requestsPerSecond * settings.propagationMs) / 1000;
  if (rollout.probe === 'on') {
    const over =
      elapsedMs - rollout.probedMs >= settings.loadProbeMs ||
      remainingAllowance(view, probeBudget) <= margin;
    return over
      ? withChange(rollout, view, { probe: 'done', ...canaryShares(rollout, view) })
      : rollout;
  }
  if (
    remainingAllowance(view, canaryBudget) <= margin ||
    (view.requestsPerSecond < lowTrafficPerSecond &&
      canaryRequestBudget(rollout, view) <= view.canaryRequests)
  )
    return currentShare(rollout) === 0 ? rollout : withChange(rollout, view, noCanaryShare);
  const probed = stands ? startLoadProbe(rollout, view) : undefined;
  if (probed !== undefined) return probed;
  if (elapsedMs - rollout.spentMs < writeIntervalMs) return rollout;
  const shares = canaryShares(rollout, view);
  return sharesDiffer(rollout, shares) ? withChange(rollout, view, shares) : rollout;
};

const advanceShift = (rollout: ReleaseRollout, view: RolloutView): ReleaseRollout => {
  const { minShiftMs, maxShiftMs } = view.settings;
  // A new primary waits until edges have its own state: its predecessor may have reached none.
  const here = Math.min(view.elapsedMs - rollout.movedMs, view.now - view.watch.watchedSince);
  const late = view.elapsedMs >= rollout.spanMs - deadlineMarginMs;
  const done = here >= minShiftMs && (isDrained(view.watch, rollout.serial, view.now) || late);
  if (!done && here < maxShiftMs) return rollout;
  return withChange(rollout, view, { phase: 'good', settled: rollout.target });
};

/** The rollout after time has passed and edges have reported; the same object if nothing changes. */
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
    // A good release is taken back only until the deadline, and only while the prior one has origins.
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
