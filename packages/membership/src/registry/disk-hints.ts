/**
 * Disk hints: reports of stores about the configuration on their disks while there is no primary.
 * Nodes without a configuration may start with it, if no newer one can have been confirmed.
 */

import { type Timestamp, withEntry } from '@switchwheel/types';
import type { ClusterMetadata, FrameOf, ConfigManifest } from '@switchwheel/transport';
import { hasMajorityContact, feedAgeMs } from './queries.js';
import type { RegistryState, StoreHint } from './state.js';

/** Time after its start for which a registry only collects hints. */
const hintDelayMs = 250;
/** Maximum age of a usable hint. */
const maxHintAgeMs = 1000;

/** Disk hint of a store that has a configuration on its disk. */
export type ProvenHint = FrameOf<'hint'> & { readonly offer: ConfigManifest };

/** Records a hint if it is the newest one of its store. */
export const learnHint = (
  state: RegistryState,
  hint: FrameOf<'hint'>,
  now: Timestamp,
): RegistryState => {
  if (state.fleet !== undefined && state.fleet !== hint.metadata.fleet) return state;
  const previousHint = state.diskHints.get(hint.node)?.frame;
  const isOutdated =
    previousHint !== undefined &&
    (hint.incarnation < previousHint.incarnation ||
      (hint.incarnation === previousHint.incarnation && hint.at < previousHint.at));
  if (isOutdated) return state;
  const diskHints = withEntry(state.diskHints, hint.node, { frame: hint, heardAt: now });
  return { ...state, diskHints };
};

const freshHints = (state: RegistryState, now: Timestamp): readonly StoreHint[] =>
  [...state.diskHints.values()].filter((hint) => now - hint.heardAt < maxHintAgeMs);

const newestMetadata = (hints: readonly StoreHint[]): ClusterMetadata | undefined =>
  hints
    .map((hint) => hint.frame.metadata)
    .reduce<ClusterMetadata | undefined>(
      (newest, next) => (newest === undefined || next.epoch > newest.epoch ? next : newest),
      undefined,
    );

const hasOffer = (hint: FrameOf<'hint'>): hint is ProvenHint => hint.offer !== undefined;

/**
 * Hints of the members of the newest in-sync set, each of which has all confirmed writes on disk; empty if one of them
 * is missing, if this registry hears a primary, or without contact with a majority.
 */
export const inSyncHints = (state: RegistryState, now: Timestamp): readonly FrameOf<'hint'>[] => {
  if (
    !state.offersDiskHints ||
    now - state.voter.startedAt <= hintDelayMs ||
    feedAgeMs(state, now) !== undefined
  )
    return [];
  const hints = freshHints(state, now);
  const metadata = newestMetadata(hints);
  if (metadata === undefined) return [];
  const knownElectorate = state.electorate;
  const electorate =
    knownElectorate !== undefined && knownElectorate.serial > metadata.electorate.serial
      ? knownElectorate
      : metadata.electorate;
  if (!hasMajorityContact({ ...state, electorate }, now)) return [];
  const inSync = hints
    .map((hint) => hint.frame)
    .filter((frame) => metadata.inSyncSet.includes(frame.node));
  return inSync.length < metadata.inSyncSet.length ? [] : inSync;
};

/**
 * Hint whose configuration is at least as new as every confirmed one; undefined if that can't be
 * proven. Every member of the newest in-sync set has all confirmed writes on disk, so the lowest of
 * their generations is new enough, and every store that can be elected has it.
 */
export const provenHint = (state: RegistryState, now: Timestamp): ProvenHint | undefined => {
  const inSync = inSyncHints(state, now);
  const [first, ...others] = inSync.filter(hasOffer);
  if (first === undefined || others.length + 1 < inSync.length) return undefined;
  return others.reduce(
    (low, hint) => (hint.offer.generation < low.offer.generation ? hint : low),
    first,
  );
};
