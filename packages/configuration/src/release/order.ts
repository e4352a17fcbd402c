import * as v from 'valibot';
import * as g from '@switchwheel/types';
import { type ReleaseState, releasePhase } from '@switchwheel/transport';
import { releaseSettings } from './settings.js';

const count = v.pipe(v.number(), v.integer(), v.minValue(0));

/** An order that was accepted before the one that stands. */
const earlierOrder = v.object({
  target: g.release,
  spanMs: v.number(),
  order: g.seq,
  /** How long ago it was accepted when the order that stands was opened. */
  ageMs: v.number(),
});
type EarlierOrder = v.InferOutput<typeof earlierOrder>;
/** How many earlier orders are kept of a service. */
const keptEarlier = 16;

/** What is stored of a service's releases: the settled one, and the last order to move to another. */
export const releaseOrder = v.object({
  service: g.serviceName,
  settled: v.optional(g.release),
  /** The settled release as it was when the order came. */
  prior: v.optional(g.release),
  target: v.optional(g.release),
  phase: releasePhase,
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
  earlier: v.optional(v.array(earlierOrder), []),
});
export type ReleaseOrder = v.InferOutput<typeof releaseOrder>;

/** A service on its settled release, with no order. */
export const settledOn = (
  service: g.ServiceName,
  settled: g.Release | undefined,
): ReleaseOrder => ({
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
export const underWay = (one: ReleaseOrder): boolean =>
  one.phase === 'trial' || one.phase === 'moving';

/** Whether an order still needs counts: until its term, whatever it was judged. */
export const counts = (one: ReleaseOrder, spentMs: number): boolean =>
  underWay(one) || ((one.phase === 'good' || one.phase === 'bad') && spentMs < one.spanMs);

/** What edges are told of a service's releases. */
export const releaseStateOf = (one: ReleaseOrder, spentMs: number): ReleaseState => ({
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
export type Ordered =
  | { readonly kind: 'opened'; readonly order: ReleaseOrder }
  | { readonly kind: 'stands'; readonly order: g.Seq }
  | { readonly kind: 'busy'; readonly target: g.Release | undefined };

const firstShare = 0.02;

/** Whether the order that stands is the one that is asked for, and is not asked for anew. */
const isCurrent = (
  known: ReleaseOrder,
  target: g.Release,
  spentMs: number,
  repeatMs: number,
): boolean =>
  known.target === target &&
  (underWay(known) || known.phase === 'good' || spentMs < Math.max(known.spanMs, repeatMs));

/** The earlier orders that may still be sent again, this one among them, as another one is opened. */
const earlierOrders = (
  known: ReleaseOrder,
  spentMs: number,
  repeatMs: number,
): readonly EarlierOrder[] => {
  const { target, spanMs, order: number } = known;
  const last = target === undefined ? [] : [{ target, spanMs, order: number, ageMs: 0 }];
  return [...known.earlier, ...last]
    .map((one) => ({ ...one, ageMs: one.ageMs + spentMs }))
    .filter((one) => one.ageMs < repeatMs)
    .slice(-keptEarlier);
};

/**
 * Opens an order. One that was accepted before is acknowledged and not begun again, also when
 * another one was accepted since; a new one waits while one is under way.
 */
export const order = (
  known: ReleaseOrder,
  settled: g.Release | undefined,
  target: g.Release,
  spanMs: number,
  spentMs: number,
  repeatMs: number = releaseSettings.repeatMs,
): Ordered => {
  if (isCurrent(known, target, spentMs, repeatMs)) return { kind: 'stands', order: known.order };
  const repeated = known.earlier.find(
    (one) => one.target === target && one.spanMs === spanMs && one.ageMs + spentMs < repeatMs,
  );
  if (repeated !== undefined) return { kind: 'stands', order: repeated.order };
  if (underWay(known)) return { kind: 'busy', target: known.target };
  return {
    kind: 'opened',
    order: {
      ...settledOn(known.service, settled),
      prior: settled,
      target,
      phase: settled === target ? 'good' : 'trial',
      share: settled === target ? 0 : firstShare,
      spanMs,
      order: g.nextSeq(known.order),
      serial: g.nextSeq(known.serial),
      earlier: [...earlierOrders(known, spentMs, repeatMs)],
    },
  };
};
