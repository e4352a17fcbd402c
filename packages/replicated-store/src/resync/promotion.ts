/**
 * Promotion of a caught-up learner to the in-sync set.
 */

import { type NodeId, type Timestamp, prependEffects } from '@switchwheel/types';
import { type ClusterMetadata, type Peer, log } from '@switchwheel/transport';
import { reachableInSync } from '../leadership/candidacy.js';
import { chooseReplicas, hasEnoughReplicas } from '../leadership/replica-placement.js';
import { requestInSyncSet } from '../log-write/backup-replacement.js';
import type { StoreState } from '../state/state.js';
import type { StoreTransition } from '../state/transition.js';

/** Silence after which an out-of-sync store is removed from the metadata. */
const removeAfterMs = 10_000;

/** Stores of the metadata with the learner added and long-silent out-of-sync stores removed. */
export const storesWithLearner = (
  state: StoreState,
  from: Peer,
  metadata: ClusterMetadata,
  now: Timestamp,
): ClusterMetadata['stores'] => [
  ...metadata.stores.filter(
    ({ node }) =>
      node !== from.node &&
      (metadata.inSyncSet.includes(node) ||
        now - (state.peers.get(node)?.heardAt ?? state.startedAt) < removeAfterMs),
  ),
  { node: from.node, address: from.address },
];

/** Whether this store is needed as a replica, and no open write would have to wait for it. */
export const mayPromote = (state: StoreState, node: NodeId, now: Timestamp): boolean =>
  state.primaryWrite === undefined &&
  state.peers.get(node)?.isStopping !== true &&
  chooseReplicas(state, reachableInSync(state, now), [node]).includes(node);

/** Requests an in-sync set that includes a learner whose table equals the primary's. */
export const promoteLearner = (
  state: StoreState,
  from: Peer,
  metadata: ClusterMetadata,
  now: Timestamp,
): StoreTransition => {
  const withoutStopping = [...reachableInSync(state, now), from.node];
  const inSyncSet = hasEnoughReplicas(state, withoutStopping)
    ? withoutStopping
    : [...reachableInSync(state, now, true), from.node];
  const next: StoreState = {
    ...state,
    metadata,
    activeResync: undefined,
    resyncAttempted: new Set(),
  };
  return prependEffects(
    [log('info', 'learner caught up', ['store', from.node])],
    requestInSyncSet(next, inSyncSet, now),
  );
};
