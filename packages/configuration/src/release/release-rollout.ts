/**
 * Stored record of a service's release rollout, and the decision on a rollout request. The schema is
 * the stored form: a new version must read records of older ones, so fields keep their names.
 * `rollout-controller.ts` advances a rollout.
 */

import * as v from 'valibot';
import * as types from '@switchwheel/types';
import { type RolloutState, rolloutPhase } from '@switchwheel/transport';
import { releaseSettings } from './settings.js';

const count = v.pipe(v.number(), v.integer(), v.minValue(0));

/** A rollout that was accepted before the current one; identifies repeated requests for it. */
const earlierRollout = v.object({
  target: types.release,
  spanMs: v.number(),
  order: types.seq,
  /** Time between its acceptance and the start of the current rollout. */
  ageMs: v.number(),
});
type EarlierRollout = v.InferOutput<typeof earlierRollout>;
/** Maximum number of earlier rollouts kept per service. */
const maxKeptEarlier = 16;

/** Schema of the stored record of a service's releases: the settled release and the latest rollout. */
export const releaseRollout = v.object({
  service: types.serviceName,
  settled: v.optional(types.release),
  /** Settled release when the rollout began; a failed rollout returns to it. */
  prior: v.optional(types.release),
  target: v.optional(types.release),
  phase: rolloutPhase,
  probe: v.picklist(['due', 'on', 'done']),
  share: v.number(),
  shares: v.array(v.object({ group: v.string(), share: v.number() })),
  spanMs: v.number(),
  /** Time since the start of the rollout when this record was written. */
  spentMs: v.number(),
  /** Times since the start of the rollout at which the shift and the load probe began. */
  movedMs: v.number(),
  probedMs: v.number(),
  /** Number of the rollout among those of the service; called `rolloutNumber` outside stored and sent records. */
  order: types.seq,
  serial: types.seq,
  /** Requests of the service since the rollout began, and those of them sent to the target, as last written. */
  total: count,
  spent: count,
  /** Reason for the result. */
  text: v.string(),
  /** Earlier rollouts whose requests may be repeated by clients that did not receive the response. */
  earlier: v.optional(v.array(earlierRollout), []),
});
/** Stored record of a service's release rollout; times are in milliseconds since its start. */
export type ReleaseRollout = v.InferOutput<typeof releaseRollout>;

/** Record of a service on its settled release that has no rollout. */
export const settledRollout = (
  service: types.ServiceName,
  settled: types.Release | undefined,
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
  order: types.noSeq,
  serial: types.nextSeq(types.noSeq),
  total: 0,
  spent: 0,
  text: '',
  earlier: [],
});

/** Whether a rollout has no result yet. */
export const isInProgress = ({ phase }: ReleaseRollout): boolean =>
  phase === 'trial' || phase === 'moving';

/** Whether edges must still report counts for a rollout: until its deadline, even once it has a result. */
export const needsCounts = (rollout: ReleaseRollout, elapsedMs: number): boolean => {
  const hasResult = rollout.phase === 'good' || rollout.phase === 'bad';
  return isInProgress(rollout) || (hasResult && elapsedMs < rollout.spanMs);
};

/** State of a service's rollout as it is sent to edges. */
export const releaseStateOf = (rollout: ReleaseRollout, elapsedMs: number): RolloutState => ({
  service: rollout.service,
  ...(rollout.settled === undefined ? {} : { settled: rollout.settled }),
  ...(rollout.target === undefined ? {} : { target: rollout.target }),
  phase: rollout.phase,
  share: rollout.share,
  shares: rollout.shares,
  leftMs: types.toDurationMs(Math.max(0, rollout.spanMs - elapsedMs)),
  order: rollout.order,
  serial: rollout.serial,
});

/** Decision on a rollout request. */
export type RolloutRequestResult =
  | { readonly kind: 'opened'; readonly rollout: ReleaseRollout }
  | { readonly kind: 'alreadyAccepted'; readonly rolloutNumber: types.Seq }
  | { readonly kind: 'conflict'; readonly target: types.Release | undefined };

const initialCanaryShare = 0.02;

/** Whether a request repeats the one that started the current rollout. */
const isSameRequest = (
  latest: ReleaseRollout,
  target: types.Release,
  elapsedMs: number,
  duplicateWindowMs: number,
): boolean =>
  latest.target === target &&
  (isInProgress(latest) ||
    latest.phase === 'good' ||
    elapsedMs < Math.max(latest.spanMs, duplicateWindowMs));

/** Rollouts, the current one included, whose requests may still be repeated when the next one starts. */
const earlierRolloutsOf = (
  latest: ReleaseRollout,
  elapsedMs: number,
  duplicateWindowMs: number,
): readonly EarlierRollout[] => {
  const { target, spanMs, order } = latest;
  const current = target === undefined ? [] : [{ target, spanMs, order, ageMs: 0 }];
  return [...latest.earlier, ...current]
    .map((earlier) => ({ ...earlier, ageMs: earlier.ageMs + elapsedMs }))
    .filter(({ ageMs }) => ageMs < duplicateWindowMs)
    .slice(-maxKeptEarlier);
};

/**
 * Decides on a rollout request. A repeated request is acknowledged and starts nothing, even if other
 * rollouts were accepted in between; a new one conflicts with a rollout in progress.
 */
export const requestReleaseRollout = (
  latest: ReleaseRollout,
  settled: types.Release | undefined,
  target: types.Release,
  spanMs: number,
  elapsedMs: number,
  duplicateWindowMs: number = releaseSettings.duplicateWindowMs,
): RolloutRequestResult => {
  if (isSameRequest(latest, target, elapsedMs, duplicateWindowMs))
    return { kind: 'alreadyAccepted', rolloutNumber: latest.order };
  const repeated = latest.earlier.find(
    (earlier) =>
      earlier.target === target &&
      earlier.spanMs === spanMs &&
      earlier.ageMs + elapsedMs < duplicateWindowMs,
  );
  if (repeated !== undefined) return { kind: 'alreadyAccepted', rolloutNumber: repeated.order };
  if (isInProgress(latest)) return { kind: 'conflict', target: latest.target };
  return {
    kind: 'opened',
    rollout: {
      ...settledRollout(latest.service, settled),
      prior: settled,
      target,
      phase: settled === target ? 'good' : 'trial',
      share: settled === target ? 0 : initialCanaryShare,
      spanMs,
      order: types.nextSeq(latest.order),
      serial: types.nextSeq(latest.serial),
      earlier: [...earlierRolloutsOf(latest, elapsedMs, duplicateWindowMs)],
    },
  };
};
