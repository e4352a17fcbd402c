import { type Timestamp, type Release, subtractMs, nextSeq } from '@switchwheel/types';
import { releaseFault } from './judge.js';
import { type ReleaseOrder, underWay } from './order.js';
import type { ReleaseSettings } from './settings.js';
import {
  type Counts,
  type Sums,
  type Watch,
  drained,
  noCounts,
  sentIn,
  spentAt,
  sumAll,
  sumSince,
  totalOf,
} from './tally.js';

/** What an order is looked at with. */
interface View {
  readonly now: Timestamp;
  readonly spentMs: number;
  readonly total: number;
  readonly used: number;
  /** Requests of the service in a second. */
  readonly perS: number;
  readonly all: Sums;
  readonly stands: (release: Release | undefined) => boolean;
  readonly watch: Watch;
  readonly settings: ReleaseSettings;
}

const writeSpan = 1000;
const rateSpan = 1500;
/** Shares that differ by less than this are left as they are. */
const shareStep = 0.35;
/** How long before the term an order is judged at the latest. */
const termMargin = 500;
const enoughGood = 8;
const leastProbe = 0.08;
const goodProbe = 0.3;
/** The parts of the allowance that the trial and the probe may use; the rest is for what is under way unseen. */
const trialPart = { pct: 0.85, slack: 0.7 };
const probePart = { pct: 0.95, slack: 0.9 };
/** Below this rate a trial stops when its room is used up; above it the base share alone is what a judgement needs. */
const fewPerS = 100;
/** For how much full traffic room is kept, in seconds: as long as it takes to see that a release turns bad as all moves. */
const moveReserveS = 1;
/** With few requests a fault may stay unseen: then room is kept for all that moves, if this many are left for the trial. */
const enoughTrial = 30;

const clamp = (low: number, raw: number, high: number): number =>
  Math.min(high, Math.max(low, raw));
const round = (raw: number): number => Math.round(raw * 1000) / 1000;

/** When, in the span, all traffic moves. */
export const moveAt = (order: ReleaseOrder, settings: ReleaseSettings): number =>
  Math.max(order.spanMs - settings.moveMs, order.spanMs / 2);

const look = (
  order: ReleaseOrder,
  watch: Watch,
  standing: ReadonlyMap<Release, number>,
  now: Timestamp,
  settings: ReleaseSettings,
): View => {
  const all = sumAll(watch);
  const spentMs = Math.max(order.spentMs, spentAt(watch, now));
  // A new primary does not know all edges yet: what was written holds until they told more.
  const total = Math.max(order.total, sentIn(all));
  const target = order.target === undefined ? undefined : all.get(order.target);
  const used = Math.max(order.spent, totalOf(target).sent);
  const window = Math.min(rateSpan, Math.max(250, now - watch.opened));
  const recent = sentIn(
    sumSince(watch, watch.opened > now - rateSpan ? watch.opened : subtractMs(now, rateSpan)),
  );
  const perS = Math.max(recent / window, total / Math.max(1000, spentMs)) * 1000;
  const stands = (release: Release | undefined): boolean =>
    release !== undefined && (standing.get(release) ?? 0) > 0;
  return { now, spentMs, total, used, perS, all, stands, watch, settings };
};

/** What the release on trial may still have, as a part of what the rule allows for the requests so far. */
const allowance = (view: View, part: typeof trialPart): number =>
  part.pct * view.settings.canaryPct * view.total +
  part.slack * view.settings.canarySlack -
  view.used;

const shareNow = (order: ReleaseOrder): number =>
  Math.max(order.share, ...order.shares.map((one) => one.share));

/** What the rule is likely to allow by the term, less what was and will be had as all traffic moves. */
const roomForTrial = (order: ReleaseOrder, view: View): number => {
  const { canaryPct, canarySlack } = view.settings;
  const atTerm = view.total + (view.perS * Math.max(0, order.spanMs - view.spentMs)) / 1000;
  const allowed = probePart.pct * (canaryPct * atTerm + canarySlack);
  const unseen = allowed - (view.perS * (order.spanMs - moveAt(order, view.settings))) / 1000;
  return unseen >= enoughTrial ? unseen : allowed - moveReserveS * view.perS;
};

/** How many requests a second a trial is to have at least. */
const wantedPerS = (order: ReleaseOrder, view: View): number =>
  (1000 * clamp(enoughTrial / 2, roomForTrial(order, view), view.settings.trialMany)) /
  moveAt(order, view.settings);

type Shares = Pick<ReleaseOrder, 'share' | 'shares'>;
const noShare: Shares = { share: 0, shares: [] };

/** The share of each class that gives it its part of the answers wanted. */
const sharesFor = (order: ReleaseOrder, view: View): Shares => {
  const { baseShare, mostShare } = view.settings;
  const wanted = wantedPerS(order, view);
  const groups = new Map<string, Counts>();
  for (const rows of view.all.values()) {
    for (const [group, one] of rows)
      groups.set(group, { ...noCounts, sent: (groups.get(group)?.sent ?? 0) + one.sent });
  }
  const sum = [...groups.values()].reduce((many, one) => many + one.sent, 0);
  const share =
    view.perS === 0 ? mostShare : round(clamp(baseShare, wanted / view.perS, mostShare));
  const shares = [...groups].flatMap(([group, one]) => {
    const perS = sum === 0 ? 0 : (view.perS * one.sent) / sum;
    const own =
      perS === 0 ? share : round(clamp(baseShare, wanted / groups.size / perS, mostShare));
    return own === share ? [] : [{ group, share: own }];
  });
  return { share, shares };
};

const unlike = (one: number, two: number): boolean =>
  Math.abs(one - two) > shareStep * Math.max(one, two);
const ownShare = (one: Shares, group: string): number =>
  one.shares.find((row) => row.group === group)?.share ?? one.share;
const differ = (one: Shares, two: Shares): boolean =>
  unlike(one.share, two.share) ||
  [...one.shares, ...two.shares].some(({ group }) =>
    unlike(ownShare(one, group), ownShare(two, group)),
  );

/** The order with what is known by now written into it. */
const noted = (order: ReleaseOrder, view: View): ReleaseOrder => ({
  ...order,
  spentMs: view.spentMs,
  total: view.total,
  spent: view.used,
});

const changed = (order: ReleaseOrder, view: View, change: Partial<ReleaseOrder>): ReleaseOrder => ({
  ...noted(order, view),
  ...change,
  serial: nextSeq(order.serial),
});

const turnBad = (order: ReleaseOrder, view: View, text: string): ReleaseOrder =>
  changed(order, view, { ...noShare, phase: 'bad', settled: order.prior, text });

/** The share that a probe under load can be afforded at; it leaves what the rest of the order needs. */
const probeShare = (order: ReleaseOrder, view: View): number => {
  const { baseShare, probeMs, lagMs } = view.settings;
  const cost = (view.perS * (probeMs + lagMs)) / 1000;
  if (cost === 0) return view.settings.probeShare;
  const trialRate = Math.max(wantedPerS(order, view), baseShare * view.perS);
  const left = Math.max(0, moveAt(order, view.settings) - view.spentMs) / 1000;
  const whole = roomForTrial(order, view) - view.used - trialRate * left;
  return Math.min(view.settings.probeShare, Math.min(allowance(view, probePart), whole) / cost);
};

/** Whether a probe begins now, and at which share. */
const probe = (order: ReleaseOrder, view: View): ReleaseOrder | undefined => {
  const { coldMs, probeMs } = view.settings;
  if (order.probe !== 'due' || view.spentMs < Math.min(coldMs, 0.4 * order.spanMs))
    return undefined;
  const last = view.spentMs >= moveAt(order, view.settings) - probeMs - rateSpan;
  const seen = totalOf(order.target === undefined ? undefined : view.all.get(order.target));
  const share = round(probeShare(order, view));
  if (!last && (share < goodProbe || seen.good < enoughGood)) return undefined;
  if (share < leastProbe || share <= shareNow(order))
    return changed(order, view, { probe: 'done' });
  return changed(order, view, { probe: 'on', probedMs: view.spentMs, share, shares: [] });
};

const onTrial = (order: ReleaseOrder, view: View): ReleaseOrder => {
  const { settings, spentMs } = view;
  const stands = view.stands(order.target);
  if (spentMs >= moveAt(order, settings) && stands)
    return changed(order, view, { ...noShare, phase: 'moving', movedMs: spentMs });
  if (spentMs >= order.spanMs - termMargin && !stands)
    return turnBad(order, view, 'no origin of it stands');
  const margin = (shareNow(order) * view.perS * settings.lagMs) / 1000;
  if (order.probe === 'on') {
    const over =
      spentMs - order.probedMs >= settings.probeMs || allowance(view, probePart) <= margin;
    return over ? changed(order, view, { probe: 'done', ...sharesFor(order, view) }) : order;
  }
  if (
    allowance(view, trialPart) <= margin ||
    (view.perS < fewPerS && roomForTrial(order, view) <= view.used)
  )
    return shareNow(order) === 0 ? order : changed(order, view, noShare);
  const probed = stands ? probe(order, view) : undefined;
  if (probed !== undefined) return probed;
  if (spentMs - order.spentMs < writeSpan) return order;
  const shares = sharesFor(order, view);
  return differ(order, shares) ? changed(order, view, shares) : order;
};

const onMoving = (order: ReleaseOrder, view: View): ReleaseOrder => {
  const { moveLeastMs, moveMostMs } = view.settings;
  // A new primary waits until its own word was heard: the one before may have told nobody.
  const here = Math.min(view.spentMs - order.movedMs, view.now - view.watch.opened);
  const late = view.spentMs >= order.spanMs - termMargin;
  const done = here >= moveLeastMs && (drained(view.watch, order.serial, view.now) || late);
  if (!done && here < moveMostMs) return order;
  return changed(order, view, { phase: 'good', settled: order.target });
};

/** What becomes of an order as time passes and edges tell what they count; the order itself if nothing does. */
export const advance = (
  order: ReleaseOrder,
  watch: Watch,
  standing: ReadonlyMap<Release, number>,
  now: Timestamp,
  settings: ReleaseSettings,
): ReleaseOrder => {
  const target = order.target;
  if (
    target === undefined ||
    order.phase === 'none' ||
    order.phase === 'bad' ||
    watch.order !== order.order
  )
    return order;
  const view = look(order, watch, standing, now, settings);
  if (order.phase === 'good') {
    // What was told good is taken back only within the term, and only while there is one to go back to.
    if (view.spentMs >= order.spanMs || order.prior === target || !view.stands(order.prior))
      return order;
    const text = releaseFault(watch, target, order.prior, now, settings);
    return text === undefined ? order : turnBad(order, view, text);
  }
  const text = releaseFault(watch, target, order.prior, now, settings);
  if (text !== undefined) return turnBad(order, view, text);
  const next = order.phase === 'trial' ? onTrial(order, view) : onMoving(order, view);
  if (next !== order) return next;
  return underWay(order) && view.spentMs - order.spentMs >= writeSpan ? noted(order, view) : order;
};
