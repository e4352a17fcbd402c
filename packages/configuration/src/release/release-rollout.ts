import * as v from 'valibot';
import * as g from '@switchwheel/types';
import { type RolloutState, rolloutPhase } from '@switchwheel/transport';
import { releaseSettings } from './settings.js';

const count = v.pipe(v.number(), v.integer(), v.minValue(0));

/** An order that was accepted before the one that stands. */
const earlierRollout = v.object({
  target: g.release,
  spanMs: v.number(),
  order: g.seq,
  /** How long ago it was accepted when the order that stands was opened. */
  ageMs: v.number(),
});
type EarlierRollout = v.InferOutput<typeof earlierRollout>;
/** How many earlier orders are kept of a service. */
const maxKeptEarlier = 16;

/** What is stored of a service's releases: the settled one, and the last order to move to another. */
export const releaseRollout = v.object({
  service: g.serviceName,
  settled: v.optional(g.release),
  /** The settled release as it was when the order came. */
  prior: v.optional(g.release),
  target: v.optional(g.release),
  phase: rolloutPhase,
  probe: v.picklist(['due', 'on', 'done']),
  share: v.number(),
  shares: v.array(v.object({ group: v.string(), share: v.number() })),
  spanMs: v.number(),
  /** How much of the span was over when this was written, and when the phase and the probe began in it. */
  spentMs: v.number(),
  movedMs: v.number(),
  probedMs: v.number(),
  order: g.seq,
  serial: g.seq,
  /** Requests of the service since the order, and those that the target got of them, as last written. */
  total: count,
  spent: count,
  /** Why it was judged as it was. */
  text: v.string(),
  /** Orders before this one that may be sent again by callers that did not hear the answer. */
  earlier: v.optional(v.array(earlierRollout), []),
});
export type ReleaseRollout = v.InferOutput<typeof releaseRollout>;

/** A service on its settled release, with no order. */
export const settledRollout = (
  service: g.ServiceName,
  settled: g.Release | undefined,
): ReleaseRollout => ({
  service,
  settled,
  prior: undefined,
  target: undefined,
  phase: 'none',
  probe: 'due',
  share: 0,
  shares: [],
  spanMs: 0,
  spentMs: 0,
  movedMs: 0,
  probedMs: 0,
  order: g.noSeq,
  serial: g.nextSeq(g.noSeq),
  total: 0,
  spent: 0,
  text: '',
  earlier: [],
});

/** Whether an order is neither judged good nor bad yet. */
export const isInProgress = (one: ReleaseRollout): boolean =>
  one.phase === 'trial' || one.phase === 'moving';

/** Whether an order still needs counts: until its term, whatever it was judged. */
export const needsCounts = (one: ReleaseRollout, spentMs: number): boolean =>
  isInProgress(one) || ((one.phase === 'good' || one.phase === 'bad') && spentMs < one.spanMs);

/** What edges are told of a service's releases. */
export const releaseStateOf = (one: ReleaseRollout, spentMs: number): RolloutState => ({
  service: one.service,
  ...(one.settled === undefined ? {} : { settled: one.settled }),
  ...(one.target === undefined ? {} : { target: one.target }),
  phase: one.phase,
  share: one.share,
  shares: one.shares,
  leftMs: g.toDurationMs(Math.max(0, one.spanMs - spentMs)),
  order: one.order,
  serial: one.serial,
});

/** What an order to move comes to. */
export type RolloutRequestResult =
  | { readonly kind: 'opened'; readonly order: ReleaseRollout }
  | { readonly kind: 'alreadyAccepted'; readonly order: g.Seq }
  | { readonly kind: 'conflict'; readonly target: g.Release | undefined };

const initialCanaryShare = 0.02;

/** Whether the order that stands is the one that is asked for, and is not asked for anew. */
const isSameRequest = (
  known: ReleaseRollout,
  target: g.Release,
  spentMs: number,
  repeatMs: number,
): boolean =>
  known.target === target &&
  (isInProgress(known) || known.phase === 'good' || spentMs < Math.max(known.spanMs, repeatMs));

/** The earlier orders that may still be sent again, this one among them, as another one is opened. */
const earlierRolloutsOf = (
  known: ReleaseRollout,
  spentMs: number,
  repeatMs: number,
): readonly EarlierRollout[] => {
  const { target, spanMs, order: number } = known;
  const last = target === undefined ? [] : [{ target, spanMs, order: number, ageMs: 0 }];
  return [...known.earlier, ...last]
    .map((one) => ({ ...one, ageMs: one.ageMs + spentMs }))
    .filter((one) => one.ageMs < repeatMs)
    .slice(-maxKeptEarlier);
};

/**
 * Opens an order. One that was accepted before is acknowledged and not begun again, also when
 * another one was accepted since; a new one waits while one is under way.
 */
export const requestReleaseRollout = (
  known: ReleaseRollout,
  settled: g.Release | undefined,
  target: g.Release,
  spanMs: number,
  spentMs: number,
  repeatMs: number = releaseSettings.duplicateWindowMs,
): RolloutRequestResult => {
  if (isSameRequest(known, target, spentMs, repeatMs))
    return { kind: 'alreadyAccepted', order: known.order };
  const repeated = known.earlier.find(
    (one) => one.target === target && one.spanMs === spanMs && one.ageMs + spentMs < repeatMs,
  );
  if (repeated !== undefined) return { kind: 'alreadyAccepted', order: repeated.order };
  if (isInProgress(known)) return { kind: 'conflict', target: known.target };
  return {
    kind: 'opened',
    order: {
      ...settledRollout(known.service, settled),
      prior: settled,
      target,
      phase: settled === target ? 'good' : 'trial',
      share: settled === target ? 0 : initialCanaryShare,
      spanMs,
      order: g.nextSeq(known.order),
      serial: g.nextSeq(known.serial),
      earlier: [...earlierRolloutsOf(known, spentMs, repeatMs)],
    },
  };
};
