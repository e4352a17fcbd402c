/**
 * Which learner the primary resyncs now: one at a time, each for its turn.
 */

import type { NodeId, Timestamp } from '@switchwheel/types';
import type { ClusterMetadata } from '@switchwheel/transport';
import { peerTimeoutMs, zoneOf } from '../leadership/replica-placement.js';
import type { PeerStatus } from '../state/peers.js';
import type { StoreState } from '../state/state.js';

/** How long a spare may make no progress before the next one has its turn. */
const resyncTurnMs = 4000;

/** Which of some spares is mended first: one with room, in an area that has no copy, with a place in the metadata. */
const bestLearner = (
  state: StoreState,
  metadata: ClusterMetadata,
  spares: readonly PeerStatus[],
): NodeId | undefined => {
  const areas = new Set(metadata.inSyncSet.map((one) => zoneOf(state, one)));
  const cost = (one: PeerStatus): number =>
    (one.isDiskFull ? 4 : 0) +
    (areas.has(zoneOf(state, one.node)) ? 2 : 0) +
    (metadata.stores.some((row) => row.node === one.node) ? 0 : 1);
  return [...spares].sort((one, two) => cost(one) - cost(two) || (one.node < two.node ? -1 : 1))[0]
    ?.node;
};

/** Chooses the one spare that is mended now. */
export const pickLearner = (
  state: StoreState,
  metadata: ClusterMetadata,
  now: Timestamp,
): StoreState => {
  const spares = [...state.peers.values()].filter(
    (one) =>
      !metadata.inSyncSet.includes(one.node) &&
      !one.isPrimary &&
      now - one.heardAt < peerTimeoutMs &&
      (one.metadata === undefined || one.metadata.fleet === metadata.fleet),
  );
  const current = state.activeResync;
  const here = current !== undefined && spares.some((one) => one.node === current.node);
  if (here && now - current.since < resyncTurnMs) return state;
  const tried = here ? new Set([...state.resyncAttempted, current.node]) : state.resyncAttempted;
  const left = spares.filter((one) => !tried.has(one.node));
  const node = bestLearner(state, metadata, left.length > 0 ? left : spares);
  return {
    ...state,
    resyncAttempted: left.length > 0 ? tried : new Set(),
    activeResync: node === undefined ? undefined : { node, since: now },
  };
};

/** A spare that has caught up leaves its turn to the next. */
export const endResyncOf = (state: StoreState, node: NodeId): StoreState =>
  state.activeResync?.node === node ? { ...state, activeResync: undefined } : state;
