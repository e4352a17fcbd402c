/**
 * A store's status to its peers. The status of a store out of sync bears its digests; the primary answers it
 * with what differs (primary-resync.ts).
 */

import { type Timestamp, transition } from '@switchwheel/types';
import { type ClusterMetadata, type FrameOf, send } from '@switchwheel/transport';
import { inSync, isPrimary, primaryTimeoutMs } from '../leadership/candidacy.js';
import { type StoreState, ownId } from '../state/state.js';
import { rangeDigests } from '../state/table.js';
import type { StoreTransition } from '../state/transition.js';

const statusIntervalMs = 300;

/** How long a write to this disk may take before the disk counts as one that takes none. */
const stalledDiskMs = 1000;

/** Who is told where this store stands: everyone by the primary and while there is none, else those whom it concerns. */
const statusTargets = (
  state: StoreState,
  now: Timestamp,
): readonly ClusterMetadata['stores'][number]['address'][] => {
  const leader = isPrimary(state, now)
    ? undefined
    : [...state.peers.values()].find(
        (one) => one.isPrimary && now - one.heardAt < primaryTimeoutMs,
      );
  if (leader !== undefined) {
    const peers =
      state.metadata?.stores.filter(
        (one) =>
          one.node !== ownId(state) &&
          inSync(state) &&
          state.metadata?.inSyncSet.includes(one.node),
      ) ?? [];
    return [...new Set([leader.address, ...peers.map((one) => one.address)])];
  }
  const known =
    state.metadata?.stores.filter((one) => one.node !== ownId(state)).map((one) => one.address) ??
    [];
  const near = state.session.members
    .filter((one) => one.role === 'store' && one.node !== ownId(state))
    .map((one) => one.address);
  return [...new Set([...known, ...near])];
};

/** Tells the other stores where this one stands; a store out of sync is mended by the answer. */
export const sendStatus = (state: StoreState, now: Timestamp): StoreTransition => {
  if (
    now - state.statusSentAt < statusIntervalMs ||
    state.phase === 'reading' ||
    state.phase === 'stopping'
  )
    return transition(state);
  const primary = isPrimary(state, now);
  const away =
    !primary &&
    !inSync(state) &&
    state.backupWrite === undefined &&
    state.primaryWrite === undefined;
  const word: FrameOf<'replica-status'> = {
    kind: 'replica-status',
    node: ownId(state),
    stamp: state.stamp,
    primary,
    full:
      state.diskFullAt !== undefined ||
      state.primaryWrite?.phase === 'orphan' ||
      (state.backupWrite !== undefined && now - state.backupWrite.startedAt > stalledDiskMs),
    ...(state.stopping === undefined ? {} : { leaving: true }),
    at: now,
    digests: away ? rangeDigests(state.table) : [],
    ...(state.metadata === undefined ? {} : { metadata: state.metadata }),
  };
  return transition(
    { ...state, statusSentAt: now },
    ...statusTargets(state, now).map((to) => send(to, word)),
  );
};
