import * as v from 'valibot';
import * as g from '@switchwheel/types';
import { type ReleaseState, releasePhase } from '@switchwheel/transport';

const count = v.pipe(v.number(), v.integer(), v.minValue(0));

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
  leftMs: g.toSpan(Math.max(0, one.spanMs - spentMs)),
  order: one.order,
  serial: one.serial,
});

/** What an order to move comes to. */
export type Ordered =
  | { readonly kind: 'opened'; readonly order: ReleaseOrder }
  | { readonly kind: 'stands' }
  | { readonly kind: 'busy'; readonly target: g.Release | undefined };

const firstShare = 0.02;

/** Opens an order; the same one repeated changes nothing, another one waits while one is under way. */
export const order = (
  known: ReleaseOrder,
  settled: g.Release | undefined,
  target: g.Release,
  spanMs: number,
  spentMs: number,
): Ordered => {
  if (
    known.target === target &&
    (underWay(known) || known.phase === 'good' || spentMs < known.spanMs)
  )
    return { kind: 'stands' };
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
    },
  };
};
