/**
 * What a node knows of the newest confirmed description, and what it may still answer while it runs an older one.
 * Both fences count from a fresh word of the primary: a node that hears no registry serves on by what it has.
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
import type { NodeAgent } from './state.js';

/** How long a node may take its description for the newest without a fresh word of the primary. */
const freshnessLeaseMs = 2000;
/** How many generations that are not in force here yet are remembered with their times. */
const maxPendingGenerations = 64;
/** How fresh the word of the primary must be for a replaced description to count as overdue: while a new primary is elected nobody can fetch one. */
const primaryContactMs = 1000;
/** Which part of the span for coming into force a node may go on with a replaced description. */
const overdueFraction = 0.9;

/** The newest confirmed generation that a node heard of, and as of when it is the newest. */
export interface ConfigFreshness {
  readonly newestGeneration: Generation;
  readonly confirmedAsOf: Timestamp | undefined;
  /** When the core first heard of each generation above the one that runs here, the lowest first. */
  readonly pendingGenerations: readonly {
    readonly generation: Generation;
    readonly at: Timestamp;
  }[];
}

export const initialConfigFreshness: ConfigFreshness = {
  newestGeneration: noGeneration,
  confirmedAsOf: undefined,
  pendingGenerations: [],
};

/** Takes in what a registry with a fresh word of the primary tells. */
export const updateConfigFreshness = (
  known: ConfigFreshness,
  word: FrameOf<'heartbeat-reply'>,
  running: Generation,
  now: Timestamp,
): ConfigFreshness => {
  if (word.age === undefined) return known;
  const isNews = word.newest > known.newestGeneration;
  const generation = isNews ? word.newest : known.newestGeneration;
  const added =
    isNews && generation > running && known.pendingGenerations.length < maxPendingGenerations
      ? [...known.pendingGenerations, { generation, at: subtractMs(now, word.newestAge) }]
      : known.pendingGenerations;
  const learned = { ...known, newestGeneration: generation, pendingGenerations: added };
  // A registry that is behind renews nothing, and neither does a push.
  if (word.newest < known.newestGeneration || word.at === clockOrigin) return learned;
  return {
    ...learned,
    confirmedAsOf: toTimestamp(Math.max(word.at - word.age, known.confirmedAsOf ?? clockOrigin)),
  };
};

/** Lets go of what has come into force. */
export const dropAppliedGenerations = (
  known: ConfigFreshness,
  running: Generation,
): ConfigFreshness => ({
  ...known,
  pendingGenerations: known.pendingGenerations.filter((one) => one.generation > running),
});

/** Whether a registry with a word of the primary that is no older than the limit was heard. */
const hasFreshConfirmation = (
  { configFreshness }: NodeAgent,
  now: Timestamp,
  limit: number,
): boolean =>
  configFreshness.confirmedAsOf !== undefined && now - configFreshness.confirmedAsOf < limit;

/**
 * Whether this node may say that there is no route: only if its description is known to be the
 * newest one. Started on what disks told, or out of touch, it can't know.
 */
export const knowsAllRoutes = (state: NodeAgent, now: Timestamp): boolean =>
  state.compiledConfiguration !== undefined &&
  state.compiledConfiguration.generation >= state.configFreshness.newestGeneration &&
  hasFreshConfirmation(state, now, freshnessLeaseMs);

/**
 * Whether a newer description should have been in force here by now: this node then answers nothing by the one that it
 * runs, for a request that is handled by it might be one that only the older description allows.
 */
export const isConfigurationOverdue = (
  state: NodeAgent,
  now: Timestamp,
  applyMs: number,
): boolean => {
  const [first] = state.configFreshness.pendingGenerations;
  return (
    first !== undefined &&
    now - first.at >= overdueFraction * applyMs &&
    hasFreshConfirmation(state, now, primaryContactMs)
  );
};
