/**
 * A store's status to its peers. The status of a store out of sync bears its digests; the primary answers it
 * with what differs (primary-resync.ts).
 */

import { type Timestamp, transition } from '@switchwheel/types';
import { type ClusterMetadata, type FrameOf, send } from '@switchwheel/transport';
import { isInSync, isPrimary, primaryTimeoutMs } from '../leadership/candidacy.js';
import { type StoreState, ownId } from '../state/state.js';
import { rangeDigests } from '../state/table.js';
import type { StoreTransition } from '../state/transition.js';

/** How often a store sends its status. */
const statusIntervalMs = 300;

/** How long a write to this disk may take before the disk counts as stalled. */
const stalledDiskMs = 1000;

/** Who gets the status: all stores from the primary, and while there is none; else the primary, and backups among themselves. */
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
  const known =
    state.metadata?.stores
      .filter((store) => store.node !== ownId(state))
      .map((store) => store.address) ?? [];
  const near = state.session.members
    .filter((member) => member.role === 'store' && member.node !== ownId(state))
    .map((member) => member.address);
  return [...new Set([...known, ...near])];
};

/** Sends this store's status when it is due; the primary's answer to a store out of sync resyncs it. */
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
