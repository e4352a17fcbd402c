/**
 * Which learner the primary resyncs now: one at a time, each for its turn.
 */

import type { NodeId, Timestamp } from '@switchwheel/types';
import type { ClusterMetadata } from '@switchwheel/transport';
import { peerTimeoutMs, zoneOf } from '../leadership/replica-placement.js';
import type { PeerStatus } from '../state/peers.js';
import type { StoreState } from '../state/state.js';

/** How long a learner may make no progress before the next one has its turn. */
const resyncTurnMs = 4000;

/** Which learner is resynced first: one with room, in a zone without a replica, that the metadata names. */
const bestLearner = (
  state: StoreState,
  metadata: ClusterMetadata,
  learners: readonly PeerStatus[],
): NodeId | undefined => {
  const zones = new Set(metadata.inSyncSet.map((node) => zoneOf(state, node)));
  const cost = ({ node, isDiskFull }: PeerStatus): number =>
    (isDiskFull ? 4 : 0) +
    (zones.has(zoneOf(state, node)) ? 2 : 0) +
    (metadata.stores.some((store) => store.node === node) ? 0 : 1);
  return [...learners].sort(
    (first, second) => cost(first) - cost(second) || (first.node < second.node ? -1 : 1),
  )[0]?.node;
};

/** Chooses the one learner that is resynced now; one that had its turn in vain waits until all others had theirs. */
export const pickLearner = (
  state: StoreState,
  metadata: ClusterMetadata,
  now: Timestamp,
): StoreState => {
  const learners = [...state.peers.values()].filter(
    (peer) =>
      !metadata.inSyncSet.includes(peer.node) &&
      !peer.isPrimary &&
      now - peer.heardAt < peerTimeoutMs &&
      (peer.metadata === undefined || peer.metadata.fleet === metadata.fleet),
  );
  const current = state.activeResync;
  const isInReach =
    current !== undefined && learners.some((learner) => learner.node === current.node);
  if (isInReach && now - current.since < resyncTurnMs) return state;
  const attempted = isInReach
    ? new Set([...state.resyncAttempted, current.node])
    : state.resyncAttempted;
  const untried = learners.filter((learner) => !attempted.has(learner.node));
  const node = bestLearner(state, metadata, untried.length > 0 ? untried : learners);
  return {
    ...state,
    resyncAttempted: untried.length > 0 ? attempted : new Set(),
    activeResync: node === undefined ? undefined : { node, since: now },
  };
};

/** A learner that has caught up leaves its turn to the next. */
export const endResyncOf = (state: StoreState, node: NodeId): StoreState =>
  state.activeResync?.node === node ? { ...state, activeResync: undefined } : state;
