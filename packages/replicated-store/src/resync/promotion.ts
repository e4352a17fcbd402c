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

/** How long a store out of sync may be silent before it gives up its place in the metadata. */
const removeAfterMs = 10_000;

/** The stores of the metadata with one that is taken in: who is out of sync and long silent gives its place. */
export const storesWithLearner = (
  state: StoreState,
  from: Peer,
  metadata: ClusterMetadata,
  now: Timestamp,
): ClusterMetadata['stores'] => [
  ...metadata.stores.filter(
    (one) =>
      one.node !== from.node &&
      (metadata.inSyncSet.includes(one.node) ||
        now - (state.peers.get(one.node)?.heardAt ?? state.startedAt) < removeAfterMs),
  ),
  { node: from.node, address: from.address },
];

/** Whether a store helps where copies are lacking, and no write is open that would have to wait for it. */
export const mayPromote = (state: StoreState, node: NodeId, now: Timestamp): boolean =>
  state.primaryWrite === undefined &&
  state.peers.get(node)?.isStopping !== true &&
  chooseReplicas(state, reachableInSync(state, now), [node]).includes(node);

/** Takes a spare that is equal to this store into the in-sync set. */
export const promoteLearner = (
  state: StoreState,
  from: Peer,
  metadata: ClusterMetadata,
  now: Timestamp,
): StoreTransition => {
  const stayed = [...reachableInSync(state, now), from.node];
  const set = hasEnoughReplicas(state, stayed)
    ? stayed
    : [...reachableInSync(state, now, true), from.node];
  const next: StoreState = {
    ...state,
    metadata: metadata,
    activeResync: undefined,
    resyncAttempted: new Set(),
  };
  return prependEffects(
    [log('info', 'a spare is mended', ['store', from.node])],
    requestInSyncSet(next, set, now),
  );
};
