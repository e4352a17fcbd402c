/**
 * Periodic status of a store to its peers. An out-of-sync store includes its range digests; the primary replies with
 * the differences (primary-resync.ts).
 */

import { type Timestamp, transition } from '@switchwheel/types';
import { type ClusterMetadata, type FrameOf, send } from '@switchwheel/transport';
import { isInSync, isPrimary, primaryTimeoutMs } from '../leadership/candidacy.js';
import { type StoreState, ownId } from '../state/state.js';
import { rangeDigests } from '../state/table.js';
import type { StoreTransition } from '../state/transition.js';

/** Interval at which a store sends its status. */
const statusIntervalMs = 300;

/** Duration of a write after which the disk counts as stalled. */
const stalledDiskMs = 1000;

/**
 * Addresses that receive the status: all stores if this store is the primary or no primary is known; otherwise the
 * primary and, from an in-sync store, the other in-sync stores.
 */
const statusTargets = (
  state: StoreState,
  now: Timestamp,
): readonly ClusterMetadata['stores'][number]['address'][] => {
  const primary = isPrimary(state, now)
    ? undefined
    : [...state.peers.values()].find(
        (peer) => peer.isPrimary && now - peer.heardAt < primaryTimeoutMs,
      );
  if (primary !== undefined) {
    const peers =
      state.metadata?.stores.filter(
        (store) =>
          store.node !== ownId(state) &&
          isInSync(state) &&
          state.metadata?.inSyncSet.includes(store.node),
      ) ?? [];
    return [...new Set([primary.address, ...peers.map((store) => store.address)])];
  }
  const metadataAddresses =
    state.metadata?.stores
      .filter((store) => store.node !== ownId(state))
      .map((store) => store.address) ?? [];
  const sessionAddresses = state.session.members
    .filter((member) => member.role === 'store' && member.node !== ownId(state))
    .map((member) => member.address);
  return [...new Set([...metadataAddresses, ...sessionAddresses])];
};

/** Sends this store's status if it is due. */
export const sendStatus = (state: StoreState, now: Timestamp): StoreTransition => {
  if (
    now - state.statusSentAt < statusIntervalMs ||
    state.phase === 'reading' ||
    state.phase === 'stopping'
  )
    return transition(state);
  const primary = isPrimary(state, now);
  const isOutOfSync =
    !primary &&
    !isInSync(state) &&
    state.backupWrite === undefined &&
    state.primaryWrite === undefined;
  const status: FrameOf<'replica-status'> = {
    kind: 'replica-status',
    node: ownId(state),
    stamp: state.logPosition,
    primary,
    full:
      state.diskFullAt !== undefined ||
      state.primaryWrite?.phase === 'abandoned' ||
      (state.backupWrite !== undefined && now - state.backupWrite.startedAt > stalledDiskMs),
    ...(state.stopping === undefined ? {} : { leaving: true }),
    at: now,
    digests: isOutOfSync ? rangeDigests(state.table) : [],
    ...(state.metadata === undefined ? {} : { metadata: state.metadata }),
  };
  return transition(
    { ...state, statusSentAt: now },
    ...statusTargets(state, now).map((to) => send(to, status)),
  );
};
