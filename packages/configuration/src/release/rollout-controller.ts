import { type Timestamp, type Release, subtractMs, nextSeq } from '@switchwheel/types';
import { releaseFailureReason } from './canary-analysis.js';
import { type ReleaseRollout, isInProgress } from './release-rollout.js';
import type { ReleaseSettings } from './settings.js';
import {
  type ReleaseCounts,
  type CountsByRelease,
  type RolloutWatch,
  isDrained,
  zeroCounts,
  totalSentIn,
  elapsedAt,
  allCounts,
  countsSince,
  sumOfClasses,
} from './canary-counts.js';

/** What an order is looked at with. */
interface RolloutView {
  readonly now: Timestamp;
  readonly elapsedMs: number;
  readonly totalRequests: number;
  readonly canaryRequests: number;
  /** Requests of the service in a second. */
  readonly requestsPerSecond: number;
  readonly counts: CountsByRelease;
  readonly hasLiveOrigins: (release: Release | undefined) => boolean;
  readonly watch: RolloutWatch;
  readonly settings: ReleaseSettings;
}

const writeIntervalMs = 1000;
const rateWindowMs = 1500;
/** Shares that differ by less than this are left as they are. */
const minShareChange = 0.35;
/** How long before the term an order is judged at the latest. */
const deadlineMarginMs = 500;
const minGoodResponses = 8;
const minProbeShare = 0.08;
const preferredProbeShare = 0.3;
/** The parts of the allowance that the trial and the probe may use; the rest is for what is under way unseen. */
const canaryBudget = { pct: 0.85, slack: 0.7 };
const probeBudget = { pct: 0.95, slack: 0.9 };
/** Below this rate a trial stops when its room is used up; above it the base share alone is what a judgement needs. */
const lowTrafficPerSecond = 100;
/** For how much full traffic room is kept, in seconds: as long as it takes to see that a release turns bad as all moves. */
const shiftReserveSeconds = 1;
/** With few requests a fault may stay unseen: then room is kept for all that moves, if this many are left for the trial. */
const minCanaryBudget = 30;

const clamp = (low: number, raw: number, high: number): number =>
  Math.min(high, Math.max(low, raw));
const roundShare = (raw: number): number => Math.round(raw * 1000) / 1000;

/** When, in the span, all traffic moves. */
export const shiftStartMs = (order: ReleaseRollout, settings: ReleaseSettings): number =>
  Math.max(order.spanMs - settings.shiftLeadMs, order.spanMs / 2);

const viewRollout = (
  order: ReleaseRollout,
  watch: RolloutWatch,
  standing: ReadonlyMap<Release, number>,
  now: Timestamp,
  settings: ReleaseSettings,
): RolloutView => {
  const all = allCounts(watch);
  const spentMs = Math.max(order.spentMs, elapsedAt(watch, now));
  // A new primary does not know all edges yet: what was written holds until they told more.
  const total = Math.max(order.total, totalSentIn(all));
  const target = order.target === undefined ? undefined : all.get(order.target);
  const used = Math.max(order.spent, sumOfClasses(target).sent);
  const window = Math.min(rateWindowMs, Math.max(250, now - watch.watchedSince));
  const recent = totalSentIn(
    countsSince(
      watch,
      watch.watchedSince > now - rateWindowMs ? watch.watchedSince : subtractMs(now, rateWindowMs),
    ),
  );
  const perS = Math.max(recent / window, total / Math.max(1000, spentMs)) * 1000;
  const stands = (release: Release | undefined): boolean =>
    release !== undefined && (standing.get(release) ?? 0) > 0;
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

/** What the release on trial may still have, as a part of what the rule allows for the requests so far. */
const remainingAllowance = (view: RolloutView, part: typeof canaryBudget): number =>
  part.pct * view.settings.canaryFraction * view.totalRequests +
  part.slack * view.settings.canaryAllowance -
  view.canaryRequests;

const currentShare = (order: ReleaseRollout): number =>
  Math.max(order.share, ...order.shares.map((one) => one.share));

/** What the rule is likely to allow by the term, less what was and will be had as all traffic moves. */
const canaryRequestBudget = (order: ReleaseRollout, view: RolloutView): number => {
  const { canaryFraction, canaryAllowance } = view.settings;
  const atTerm =
    view.totalRequests +
    (view.requestsPerSecond * Math.max(0, order.spanMs - view.elapsedMs)) / 1000;
  const allowed = probeBudget.pct * (canaryFraction * atTerm + canaryAllowance);
  const unseen =
    allowed - (view.requestsPerSecond * (order.spanMs - shiftStartMs(order, view.settings))) / 1000;
  return unseen >= minCanaryBudget
    ? unseen
    : allowed - shiftReserveSeconds * view.requestsPerSecond;
};

/** How many requests a second a trial is to have at least. */
const wantedCanaryRate = (order: ReleaseRollout, view: RolloutView): number =>
  (1000 *
    clamp(minCanaryBudget / 2, canaryRequestBudget(order, view), view.settings.minCanaryRequests)) /
  shiftStartMs(order, view.settings);

type CanaryShares = Pick<ReleaseRollout, 'share' | 'shares'>;
const noCanaryShare: CanaryShares = { share: 0, shares: [] };

/** The share of each class that gives it its part of the answers wanted. */
const canaryShares = (order: ReleaseRollout, view: RolloutView): CanaryShares => {
  const { minCanaryShare, maxCanaryShare } = view.settings;
  const wanted = wantedCanaryRate(order, view);
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
const sharesDiffer = (one: CanaryShares, two: CanaryShares): boolean =>
  differsNotably(one.share, two.share) ||
  [...one.shares, ...two.shares].some(({ group }) =>
    differsNotably(classShare(one, group), classShare(two, group)),
  );

/** The order with what is known by now written into it. */
const withProgress = (order: ReleaseRollout, view: RolloutView): ReleaseRollout => ({
  ...order,
  spentMs: view.elapsedMs,
  total: view.totalRequests,
  spent: view.canaryRequests,
});

const withChange = (
  order: ReleaseRollout,
  view: RolloutView,
  change: Partial<ReleaseRollout>,
): ReleaseRollout => ({
  ...withProgress(order, view),
  ...change,
  serial: nextSeq(order.serial),
});

const markFailed = (order: ReleaseRollout, view: RolloutView, text: string): ReleaseRollout =>
  withChange(order, view, { ...noCanaryShare, phase: 'bad', settled: order.prior, text });

/** The share that a probe under load can be afforded at; it leaves what the rest of the order needs. */
const affordableProbeShare = (order: ReleaseRollout, view: RolloutView): number => {
  const { minCanaryShare, loadProbeMs, propagationMs } = view.settings;
  const cost = (view.requestsPerSecond * (loadProbeMs + propagationMs)) / 1000;
  if (cost === 0) return view.settings.loadProbeShare;
  const trialRate = Math.max(
    wantedCanaryRate(order, view),
    minCanaryShare * view.requestsPerSecond,
  );
  const left = Math.max(0, shiftStartMs(order, view.settings) - view.elapsedMs) / 1000;
  const whole = canaryRequestBudget(order, view) - view.canaryRequests - trialRate * left;
  return Math.min(
    view.settings.loadProbeShare,
    Math.min(remainingAllowance(view, probeBudget), whole) / cost,
  );
};

/** Whether a probe begins now, and at which share. */
const startLoadProbe = (order: ReleaseRollout, view: RolloutView): ReleaseRollout | undefined => {
  const { slowStartMs, loadProbeMs } = view.settings;
  if (order.probe !== 'due' || view.elapsedMs < Math.min(slowStartMs, 0.4 * order.spanMs))
    return undefined;
  const last = view.elapsedMs >= shiftStartMs(order, view.settings) - loadProbeMs - rateWindowMs;
  const seen = sumOfClasses(order.target === undefined ? undefined : view.counts.get(order.target));
  const share = roundShare(affordableProbeShare(order, view));
  if (!last && (share < preferredProbeShare || seen.good < minGoodResponses)) return undefined;
  if (share < minProbeShare || share <= currentShare(order))
    return withChange(order, view, { probe: 'done' });
  return withChange(order, view, { probe: 'on', probedMs: view.elapsedMs, share, shares: [] });
};

const advanceCanary = (order: ReleaseRollout, view: RolloutView): ReleaseRollout => {
  const { settings, elapsedMs } = view;
  const stands = view.hasLiveOrigins(order.target);
  if (elapsedMs >= shiftStartMs(order, settings) && stands)
    return withChange(order, view, { ...noCanaryShare, phase: 'moving', movedMs: elapsedMs });
  if (elapsedMs >= order.spanMs - deadlineMarginMs && !stands)
    return markFailed(order, view, 'no origin of it stands');
  const margin = (currentShare(order) * view.requestsPerSecond * settings.propagationMs) / 1000;
  if (order.probe === 'on') {
    const over =
      elapsedMs - order.probedMs >= settings.loadProbeMs ||
      remainingAllowance(view, probeBudget) <= margin;
    return over ? withChange(order, view, { probe: 'done', ...canaryShares(order, view) }) : order;
  }
  if (
    remainingAllowance(view, canaryBudget) <= margin ||
    (view.requestsPerSecond < lowTrafficPerSecond &&
      canaryRequestBudget(order, view) <= view.canaryRequests)
  )
    return currentShare(order) === 0 ? order : withChange(order, view, noCanaryShare);
  const probed = stands ? startLoadProbe(order, view) : undefined;
  if (probed !== undefined) return probed;
  if (elapsedMs - order.spentMs < writeIntervalMs) return order;
  const shares = canaryShares(order, view);
  return sharesDiffer(order, shares) ? withChange(order, view, shares) : order;
};

const advanceShift = (order: ReleaseRollout, view: RolloutView): ReleaseRollout => {
  const { minShiftMs, maxShiftMs } = view.settings;
  // A new primary waits until its own word was heard: the one before may have told nobody.
  const here = Math.min(view.elapsedMs - order.movedMs, view.now - view.watch.watchedSince);
  const late = view.elapsedMs >= order.spanMs - deadlineMarginMs;
  const done = here >= minShiftMs && (isDrained(view.watch, order.serial, view.now) || late);
  if (!done && here < maxShiftMs) return order;
  return withChange(order, view, { phase: 'good', settled: order.target });
};

/** What becomes of an order as time passes and edges tell what they count; the order itself if nothing does. */
export const advanceReleaseRollout = (
  order: ReleaseRollout,
  watch: RolloutWatch,
  standing: ReadonlyMap<Release, number>,
  now: Timestamp,
  settings: ReleaseSettings,
): ReleaseRollout => {
  const target = order.target;
  if (
    target === undefined ||
    order.phase === 'none' ||
    order.phase === 'bad' ||
    watch.order !== order.order
  )
    return order;
  const view = viewRollout(order, watch, standing, now, settings);
  if (order.phase === 'good') {
    // What was told good is taken back only within the term, and only while there is one to go back to.
    if (
      view.elapsedMs >= order.spanMs ||
      order.prior === target ||
      !view.hasLiveOrigins(order.prior)
    )
      return order;
    const text = releaseFailureReason(watch, target, order.prior, now, settings);
    return text === undefined ? order : markFailed(order, view, text);
  }
  const text = releaseFailureReason(watch, target, order.prior, now, settings);
  if (text !== undefined) return markFailed(order, view, text);
  const next = order.phase === 'trial' ? advanceCanary(order, view) : advanceShift(order, view);
  if (next !== order) return next;
  return isInProgress(order) && view.elapsedMs - order.spentMs >= writeIntervalMs
    ? withProgress(order, view)
    : order;
};
