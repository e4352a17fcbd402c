/**
 * Hints: what stores say of their disks while they hear no primary. Nodes that run nothing may
 * start on them, but only where no newer description can have been confirmed.
 */
import { type Timestamp, withEntry } from '@switchwheel/types';
import type { ClusterMetadata, FrameOf, Offer } from '@switchwheel/transport';
import { hasMajorityContact, feedAge } from './queries.js';
import type { Registry, StoreHint } from './state.js';

/** How long a registry listens for what disks hold before it tells of it. */
const hintDelay = 250;
/** How old a store's word of its disk may be to count. */
const hintLimit = 1000;

/** Where the description that a hint names can be had. */
export type ProvenHint = FrameOf<'hint'> & { readonly offer: Offer };

/** Keeps the newest word of each store. */
export const learnHint = (state: Registry, word: FrameOf<'hint'>, now: Timestamp): Registry => {
  if (state.fleet !== undefined && state.fleet !== word.metadata.fleet) return state;
  const known = state.hints.get(word.node);
  const late =
    known !== undefined &&
    (word.incarnation < known.word.incarnation ||
      (word.incarnation === known.word.incarnation && word.at < known.word.at));
  return late
    ? state
    : { ...state, hints: withEntry(state.hints, word.node, { word, heardAt: now }) };
};

const freshHints = (state: Registry, now: Timestamp): readonly StoreHint[] =>
  [...state.hints.values()].filter((one) => now - one.heardAt < hintLimit);

const newestMetadata = (hints: readonly StoreHint[]): ClusterMetadata | undefined =>
  hints
    .map((one) => one.word.metadata)
    .reduce<ClusterMetadata | undefined>(
      (best, one) => (best === undefined || one.epoch > best.epoch ? one : best),
      undefined,
    );

const hasOffer = (word: FrameOf<'hint'>): word is ProvenHint => word.offer !== undefined;

/**
 * The hint that is proved to be the newest confirmed: this registry hears a majority, and every
 * member of the newest in-sync set has spoken. What was confirmed is on the disk of each of them,
 * so the lowest of what they hold is no older; and whoever of them is elected has it.
 */
export const provenHint = (state: Registry, now: Timestamp): ProvenHint | undefined => {
  if (!state.eager || now - state.voter.born <= hintDelay || feedAge(state, now) !== undefined)
    return undefined;
  const hints = freshHints(state, now);
  const metadata = newestMetadata(hints);
  if (metadata === undefined) return undefined;
  const known = state.electorate;
  const electorate =
    known !== undefined && known.serial > metadata.electorate.serial ? known : metadata.electorate;
  if (!hasMajorityContact({ ...state, electorate }, now)) return undefined;
  const inSync = hints
    .map((one) => one.word)
    .filter((one) => metadata.inSyncSet.includes(one.node));
  const offering = inSync.filter(hasOffer);
  if (offering.length < metadata.inSyncSet.length) return undefined;
  return offering.reduce((low, one) => (one.offer.generation < low.offer.generation ? one : low));
};
