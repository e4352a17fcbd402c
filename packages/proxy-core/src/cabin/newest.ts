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
import type { Cabin } from './state.js';

/** How long a node may take its description for the newest without a fresh word of the primary. */
const currentLease = 2000;
/** How many generations that are not in force here yet are remembered with their times. */
const maxLearned = 64;
/** How fresh the word of the primary must be for a replaced description to count as overdue: while a new primary is elected nobody can fetch one. */
const primaryContact = 1000;
/** Which part of the span for coming into force a node may go on with a replaced description. */
const overduePart = 0.9;

/** The newest confirmed generation that a node heard of, and as of when it is the newest. */
export interface Newest {
  readonly generation: Generation;
  readonly asOf: Timestamp | undefined;
  /** When the core first heard of each generation above the one that runs here, the lowest first. */
  readonly learned: readonly { readonly generation: Generation; readonly at: Timestamp }[];
}

export const noNewest: Newest = { generation: noGeneration, asOf: undefined, learned: [] };

/** Takes in what a registry with a fresh word of the primary tells. */
export const learnNewest = (
  known: Newest,
  word: FrameOf<'heartbeat-reply'>,
  running: Generation,
  now: Timestamp,
): Newest => {
  if (word.age === undefined) return known;
  const isNews = word.newest > known.generation;
  const generation = isNews ? word.newest : known.generation;
  const added =
    isNews && generation > running && known.learned.length < maxLearned
      ? [...known.learned, { generation, at: subtractMs(now, word.newestAge) }]
      : known.learned;
  const learned = { ...known, generation, learned: added };
  // A registry that is behind renews nothing, and neither does a push.
  if (word.newest < known.generation || word.at === clockOrigin) return learned;
  return { ...learned, asOf: toTimestamp(Math.max(word.at - word.age, known.asOf ?? clockOrigin)) };
};

/** Lets go of what has come into force. */
export const noteInForce = (known: Newest, running: Generation): Newest => ({
  ...known,
  learned: known.learned.filter((one) => one.generation > running),
});

/** Whether a registry with a word of the primary that is no older than the limit was heard. */
const hasFreshWord = ({ newest }: Cabin, now: Timestamp, limit: number): boolean =>
  newest.asOf !== undefined && now - newest.asOf < limit;

/**
 * Whether this node may say that there is no route: only if its description is known to be the
 * newest one. Started on what disks told, or out of touch, it can't know.
 */
export const knowsAllRoutes = (state: Cabin, now: Timestamp): boolean =>
  state.table !== undefined &&
  state.table.generation >= state.newest.generation &&
  hasFreshWord(state, now, currentLease);

/**
 * Whether a newer description should have been in force here by now: this node then answers nothing by the one that it
 * runs, for a request that is handled by it might be one that only the older description allows.
 */
export const isOverdue = (state: Cabin, now: Timestamp, applyMs: number): boolean => {
  const [first] = state.newest.learned;
  return (
    first !== undefined &&
    now - first.at >= overduePart * applyMs &&
    hasFreshWord(state, now, primaryContact)
  );
};
