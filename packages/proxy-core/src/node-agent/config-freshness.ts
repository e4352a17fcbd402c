/**
 * Freshness of a node's knowledge of the newest confirmed configuration. Ages count from the
 * primary's confirmation to a registry; a node without a registry keeps serving with the
 * configuration it has.
 */

import {
  type Generation,
  type Timestamp,
  subtractMs,
  noGeneration,
  clockOrigin,
  toTimestamp,
} from '@switchwheel/types';
import type { FrameOf } from '@switchwheel/transport';

/** Maximum number of generations tracked before they are applied. */
const maxPendingGenerations = 64;

/** Confirmed generation that is not applied here yet, and the time of its confirmation. */
export interface PendingGeneration {
  readonly generation: Generation;
  readonly confirmedAt: Timestamp;
}

/**
 * Newest confirmed generation known to a node, and the time up to which it is known to be the
 * newest.
 */
export interface ConfigFreshness {
  readonly newestGeneration: Generation;
  /**
   * Time of the primary's latest confirmation, by this node's clock; undefined before the first
   * one.
   */
  readonly confirmedAsOf: Timestamp | undefined;
  /** Confirmed generations above the running one, in ascending order. */
  readonly pendingGenerations: readonly PendingGeneration[];
}

/** Freshness before the first heartbeat reply. */
export const initialConfigFreshness: ConfigFreshness = {
  newestGeneration: noGeneration,
  confirmedAsOf: undefined,
  pendingGenerations: [],
};

/**
 * Updates the freshness from a heartbeat reply. A reply without `age` comes from a registry without
 * recent contact to the primary and is ignored.
 */
export const updateConfigFreshness = (
  previous: ConfigFreshness,
  reply: FrameOf<'heartbeat-reply'>,
  running: Generation,
  now: Timestamp,
): ConfigFreshness => {
  if (reply.age === undefined) return previous;
  const isNewer = reply.newest > previous.newestGeneration;
  const newestGeneration = isNewer ? reply.newest : previous.newestGeneration;
  const isPending =
    isNewer &&
    newestGeneration > running &&
    previous.pendingGenerations.length < maxPendingGenerations;
  const pending = { generation: newestGeneration, confirmedAt: subtractMs(now, reply.newestAge) };
  const updated: ConfigFreshness = {
    ...previous,
    newestGeneration,
    pendingGenerations: isPending
      ? [...previous.pendingGenerations, pending]
      : previous.pendingGenerations,
  };
  // Neither a registry that lags behind nor a push, which echoes no heartbeat, confirms that the
  // generation is the newest.
  if (reply.newest < previous.newestGeneration || reply.at === clockOrigin) return updated;
  const confirmedAsOf = Math.max(reply.at - reply.age, previous.confirmedAsOf ?? clockOrigin);
  return { ...updated, confirmedAsOf: toTimestamp(confirmedAsOf) };
};

/** Drops the pending generations up to the running one. */
export const dropAppliedGenerations = (
  previous: ConfigFreshness,
  running: Generation,
): ConfigFreshness => ({
  ...previous,
  pendingGenerations: previous.pendingGenerations.filter(({ generation }) => generation > running),
});

/** Whether the primary confirmed the newest generation less than `limitMs` ago. */
export const isConfirmedWithin = (
  { confirmedAsOf }: ConfigFreshness,
  now: Timestamp,
  limitMs: number,
): boolean => confirmedAsOf !== undefined && now - confirmedAsOf < limitMs;
