/**
 * Selection of the learner that the primary resyncs; one learner at a time.
 */

import type { NodeId, Timestamp } from '@switchwheel/types';
import type { ClusterMetadata } from '@switchwheel/transport';
import { peerTimeoutMs, zoneOf } from '../leadership/replica-placement.js';
import type { PeerStatus } from '../state/peers.js';
import type { StoreState } from '../state/state.js';

/** Time without progress after which the next learner is resynced. */
const resyncStallTimeoutMs = 4000;

/** Returns the preferred learner: with free disk space, in a zone without a replica, named by the metadata. */
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

/** Selects the learner to resync. One that timed out waits until all others have been tried. */
export const selectLearner = (
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
  if (isInReach && now - current.since < resyncStallTimeoutMs) return state;
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

/** Ends the resync of a caught-up learner, so that another one can be selected. */
export const endResyncOf = (state: StoreState, node: NodeId): StoreState =>
  state.activeResync?.node === node ? { ...state, activeResync: undefined } : state;
