/**
 * The stored record of a service's release rollout, and how a request for one is answered. The schema
 * is the stored form: a new version must read what an older one wrote, so members keep their names.
 * How a rollout goes on is `rollout-controller.ts`'s part.
 */

import * as v from 'valibot';
import * as g from '@switchwheel/types';
import { type RolloutState, rolloutPhase } from '@switchwheel/transport';
import { releaseSettings } from './settings.js';

const count = v.pipe(v.number(), v.integer(), v.minValue(0));

/** A rollout that was accepted before the current one. */
const earlierRollout = v.object({
  target: g.release,
  spanMs: v.number(),
  order: g.seq,
  /** How long ago it was accepted when the current one was opened. */
  ageMs: v.number(),
});
type EarlierRollout = v.InferOutput<typeof earlierRollout>;
/** How many earlier rollouts are kept of a service. */
const maxKeptEarlier = 16;

/** What is stored of a service's releases: the settled one, and the last rollout of another. */
export const releaseRollout = v.object({
  service: g.serviceName,
  settled: v.optional(g.release),
  /** The settled release when the rollout began: a failed one goes back to it. */
  prior: v.optional(g.release),
  target: v.optional(g.release),
  phase: rolloutPhase,
  probe: v.picklist(['due', 'on', 'done']),
  share: v.number(),
  shares: v.array(v.object({ group: v.string(), share: v.number() })),
  spanMs: v.number(),
  /** How much of the span was over when this was written, and when the shift and the load probe began in it. */
  spentMs: v.number(),
  movedMs: v.number(),
  probedMs: v.number(),
  order: g.seq,
  serial: g.seq,
  /** Requests of the service since the rollout began, and those of them that the target got, as last written. */
  total: count,
  spent: count,
  /** Why it was judged as it was. */
  text: v.string(),
  /** Rollouts before this one whose requests may be sent again by callers that did not get the answer. */
  earlier: v.optional(v.array(earlierRollout), []),
});
/** A service's release rollout as it is stored; times are in milliseconds of its span. */
export type ReleaseRollout = v.InferOutput<typeof releaseRollout>;

/** A service on its settled release, without a rollout. */
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

/** Whether a rollout is not judged yet. */
export const isInProgress = ({ phase }: ReleaseRollout): boolean =>
  phase === 'trial' || phase === 'moving';

/** Whether edges still have to count for a rollout: until its deadline, even if it is judged. */
export const needsCounts = (rollout: ReleaseRollout, spentMs: number): boolean => {
  const isJudged = rollout.phase === 'good' || rollout.phase === 'bad';
  return isInProgress(rollout) || (isJudged && spentMs < rollout.spanMs);
};

/** What edges get of a service's rollout. */
export const releaseStateOf = (rollout: ReleaseRollout, spentMs: number): RolloutState => ({
  service: rollout.service,
  ...(rollout.settled === undefined ? {} : { settled: rollout.settled }),
  ...(rollout.target === undefined ? {} : { target: rollout.target }),
  phase: rollout.phase,
  share: rollout.share,
  shares: rollout.shares,
  leftMs: g.toDurationMs(Math.max(0, rollout.spanMs - spentMs)),
  order: rollout.order,
  serial: rollout.serial,
});

/** The answer to a request for a rollout. */
export type RolloutRequestResult =
  | { readonly kind: 'opened'; readonly rollout: ReleaseRollout }
  | { readonly kind: 'alreadyAccepted'; readonly rolloutNumber: g.Seq }
  | { readonly kind: 'conflict'; readonly target: g.Release | undefined };

const initialCanaryShare = 0.02;

/** Whether a request is that of the current rollout, sent again. */
const isSameRequest = (
  known: ReleaseRollout,
  target: g.Release,
  spentMs: number,
  repeatMs: number,
): boolean =>
  known.target === target &&
  (isInProgress(known) || known.phase === 'good' || spentMs < Math.max(known.spanMs, repeatMs));

/** The rollouts whose requests may still be sent again, the current one among them, as another is opened. */
const earlierRolloutsOf = (
  known: ReleaseRollout,
  spentMs: number,
  repeatMs: number,
): readonly EarlierRollout[] => {
  const { target, spanMs, order } = known;
  const current = target === undefined ? [] : [{ target, spanMs, order, ageMs: 0 }];
  return [...known.earlier, ...current]
    .map((earlier) => ({ ...earlier, ageMs: earlier.ageMs + spentMs }))
    .filter(({ ageMs }) => ageMs < repeatMs)
    .slice(-maxKeptEarlier);
};

/**
 * Answers a request for a rollout. One that was accepted before is acknowledged and not begun again,
 * also when another was accepted since; a new one conflicts with one in progress.
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
    return { kind: 'alreadyAccepted', rolloutNumber: known.order };
  const repeated = known.earlier.find(
    (earlier) =>
      earlier.target === target && earlier.spanMs === spanMs && earlier.ageMs + spentMs < repeatMs,
  );
  if (repeated !== undefined) return { kind: 'alreadyAccepted', rolloutNumber: repeated.order };
  if (isInProgress(known)) return { kind: 'conflict', target: known.target };
  return {
    kind: 'opened',
    rollout: {
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
