/**
 * Disk hints: what stores report of their disks while they hear no primary. Nodes that run nothing
 * may start on them, but only where no newer configuration can have been confirmed.
 */

import { type Timestamp, withEntry } from '@switchwheel/types';
import type { ClusterMetadata, FrameOf, ConfigManifest } from '@switchwheel/transport';
import { hasMajorityContact, feedAgeMs } from './queries.js';
import type { RegistryState, StoreHint } from './state.js';

/** How long after its start a registry listens for hints before it offers one. */
const hintDelayMs = 250;
/** How old a store's hint may be to count. */
const maxHintAgeMs = 1000;

/** A hint that names a configuration, and the store that has it. */
export type ProvenHint = FrameOf<'hint'> & { readonly offer: ConfigManifest };

/** Keeps the newest hint of each store. */
export const learnHint = (
  state: RegistryState,
  hint: FrameOf<'hint'>,
  now: Timestamp,
): RegistryState => {
  if (state.fleet !== undefined && state.fleet !== hint.metadata.fleet) return state;
  const known = state.diskHints.get(hint.node)?.frame;
  const isOvertaken =
    known !== undefined &&
    (hint.incarnation < known.incarnation ||
      (hint.incarnation === known.incarnation && hint.at < known.at));
  if (isOvertaken) return state;
  const diskHints = withEntry(state.diskHints, hint.node, { frame: hint, heardAt: now });
  return { ...state, diskHints };
};

const freshHints = (state: RegistryState, now: Timestamp): readonly StoreHint[] =>
  [...state.diskHints.values()].filter((hint) => now - hint.heardAt < maxHintAgeMs);

const newestMetadata = (hints: readonly StoreHint[]): ClusterMetadata | undefined =>
  hints
    .map((one) => one.frame.metadata)
    .reduce<ClusterMetadata | undefined>(
      (best, one) => (best === undefined || one.epoch > best.epoch ? one : best),
      undefined,
    );

const hasOffer = (hint: FrameOf<'hint'>): hint is ProvenHint => hint.offer !== undefined;

/**
 * The hint that is proven to be no older than what was confirmed: this registry is in contact with
 * a majority, and every member of the newest in-sync set has sent one. What was confirmed is on the
 * disk of each of them, so the lowest of their generations is no older, and whichever is elected
 * has it.
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
