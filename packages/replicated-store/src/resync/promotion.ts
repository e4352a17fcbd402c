/**
 * Promotion of a learner that has caught up into the in-sync set.
 */

import { type NodeId, type Timestamp, prependEffects } from '@switchwheel/types';
import { type ClusterMetadata, type Peer, log } from '@switchwheel/transport';
import { reachableInSync } from '../leadership/candidacy.js';
import { chooseReplicas, hasEnoughReplicas } from '../leadership/replica-placement.js';
import { requestInSyncSet } from '../log-write/backup-replacement.js';
import type { StoreState } from '../state/state.js';
import type { StoreTransition } from '../state/transition.js';

/** How long a store out of sync may be silent before it is removed from the metadata. */
const removeAfterMs = 10_000;

/** The stores of the metadata with a learner, and without those that are out of sync and were silent for long. */
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

/** Whether another replica is needed and this store would be one, and no write is open that would have to wait for it. */
export const mayPromote = (state: StoreState, node: NodeId, now: Timestamp): boolean =>
  state.primaryWrite === undefined &&
  state.peers.get(node)?.isStopping !== true &&
  chooseReplicas(state, reachableInSync(state, now), [node]).includes(node);

/** Takes a learner whose table equals the primary's into the in-sync set. */
export const promoteLearner = (
  state: StoreState,
  from: Peer,
  metadata: ClusterMetadata,
  now: Timestamp,
): StoreTransition => {
  const withoutStopping = [...reachableInSync(state, now), from.node];
  const set = hasEnoughReplicas(state, withoutStopping)
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
    requestInSyncSet(next, set, now),
  );
};
