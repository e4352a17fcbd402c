/**
 * Hints: what stores say of their disks while they hear no primary. Nodes that run nothing may
 * start on them, but only where no newer description can have been confirmed.
 */
import { type Timestamp, withEntry } from '@switchwheel/types';
import type { ClusterMetadata, FrameOf, ConfigManifest } from '@switchwheel/transport';
import { hasMajorityContact, feedAgeMs } from './queries.js';
import type { RegistryState, StoreHint } from './state.js';

/** How long a registry listens for what disks hold before it tells of it. */
const hintDelayMs = 250;
/** How old a store's word of its disk may be to count. */
const maxHintAgeMs = 1000;

/** Where the description that a hint names can be had. */
export type ProvenHint = FrameOf<'hint'> & { readonly offer: ConfigManifest };

/** Keeps the newest word of each store. */
export const learnHint = (
  state: RegistryState,
  word: FrameOf<'hint'>,
  now: Timestamp,
): RegistryState => {
  if (state.fleet !== undefined && state.fleet !== word.metadata.fleet) return state;
  const known = state.diskHints.get(word.node);
  const late =
    known !== undefined &&
    (word.incarnation < known.frame.incarnation ||
      (word.incarnation === known.frame.incarnation && word.at < known.frame.at));
  return late
    ? state
    : { ...state, diskHints: withEntry(state.diskHints, word.node, { frame: word, heardAt: now }) };
};

const freshHints = (state: RegistryState, now: Timestamp): readonly StoreHint[] =>
  [...state.diskHints.values()].filter((one) => now - one.heardAt < maxHintAgeMs);

const newestMetadata = (hints: readonly StoreHint[]): ClusterMetadata | undefined =>
  hints
    .map((one) => one.frame.metadata)
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
export const provenHint = (state: RegistryState, now: Timestamp): ProvenHint | undefined => {
  if (
    !state.offersDiskHints ||
    now - state.voter.startedAt <= hintDelayMs ||
    feedAgeMs(state, now) !== undefined
  )
    return undefined;
  const hints = freshHints(state, now);
  const metadata = newestMetadata(hints);
  if (metadata === undefined) return undefined;
  const known = state.electorate;
  const electorate =
    known !== undefined && known.serial > metadata.electorate.serial ? known : metadata.electorate;
  if (!hasMajorityContact({ ...state, electorate }, now)) return undefined;
  const inSync = hints
    .map((one) => one.frame)
    .filter((one) => metadata.inSyncSet.includes(one.node));
  const offering = inSync.filter(hasOffer);
  if (offering.length < metadata.inSyncSet.length) return undefined;
  return offering.reduce((low, one) => (one.offer.generation < low.offer.generation ? one : low));
};
