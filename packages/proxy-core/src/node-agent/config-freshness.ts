/**
 * How fresh a node's knowledge of the newest confirmed configuration is. All times count from when
 * the primary confirmed it to a registry: a node that hears no registry serves on by what it has.
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

/** How many generations that are not adopted yet are remembered with their times. */
const maxPendingGenerations = 64;

/** A confirmed generation, and when the core first knew of it. */
export interface PendingGeneration {
  readonly generation: Generation;
  readonly at: Timestamp;
}

/** The newest confirmed generation that a node knows of, and as of when it is the newest. */
export interface ConfigFreshness {
  readonly newestGeneration: Generation;
  /** The primary's confirmation, by this node's clock; undefined before the first one. */
  readonly confirmedAsOf: Timestamp | undefined;
  /** The generations above the one that runs here, the lowest first. */
  readonly pendingGenerations: readonly PendingGeneration[];
}

/** The freshness of a node that has heard nothing. */
export const initialConfigFreshness: ConfigFreshness = {
  newestGeneration: noGeneration,
  confirmedAsOf: undefined,
  pendingGenerations: [],
};

/** Takes in what a registry replied, if it has fresh contact with the primary. */
export const updateConfigFreshness = (
  known: ConfigFreshness,
  reply: FrameOf<'heartbeat-reply'>,
  running: Generation,
  now: Timestamp,
): ConfigFreshness => {
  if (reply.age === undefined) return known;
  const isNewer = reply.newest > known.newestGeneration;
  const newestGeneration = isNewer ? reply.newest : known.newestGeneration;
  const isPending =
    isNewer &&
    newestGeneration > running &&
    known.pendingGenerations.length < maxPendingGenerations;
  const pending = { generation: newestGeneration, at: subtractMs(now, reply.newestAge) };
  const updated: ConfigFreshness = {
    ...known,
    newestGeneration,
    pendingGenerations: isPending
      ? [...known.pendingGenerations, pending]
      : known.pendingGenerations,
  };
  // A registry that is behind confirms nothing, and neither does a reply that no heartbeat asked for.
  if (reply.newest < known.newestGeneration || reply.at === clockOrigin) return updated;
  const confirmedAsOf = Math.max(reply.at - reply.age, known.confirmedAsOf ?? clockOrigin);
  return { ...updated, confirmedAsOf: toTimestamp(confirmedAsOf) };
};

/** Forgets the pending generations that the adopted one settles. */
export const dropAppliedGenerations = (
  known: ConfigFreshness,
  running: Generation,
): ConfigFreshness => ({
  ...known,
  pendingGenerations: known.pendingGenerations.filter(({ generation }) => generation > running),
});

/** Whether the primary confirmed the newest generation less than so many milliseconds ago. */
export const isConfirmedWithin = (
  { confirmedAsOf }: ConfigFreshness,
  now: Timestamp,
  limitMs: number,
): boolean => confirmedAsOf !== undefined && now - confirmedAsOf < limitMs;
