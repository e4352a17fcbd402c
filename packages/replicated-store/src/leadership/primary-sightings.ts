/**
 * Record of the last contact with a primary, derived from the metadata in its frames.
 */

import type { Timestamp } from '@switchwheel/types';
import type { ClusterMetadata } from '@switchwheel/transport';
import { type StoreState, ownId } from '../state/state.js';

/** Records that a primary is alive, and its epoch if its in-sync set excludes this store. */
export const observePrimary = (
  state: StoreState,
  metadata: ClusterMetadata,
  now: Timestamp,
): StoreState => {
  if (
    state.metadata === undefined ||
    metadata.fleet !== state.metadata.fleet ||
    metadata.epoch < state.metadata.epoch
  )
    return state;
  const isExcluded =
    !metadata.inSyncSet.includes(ownId(state)) && metadata.epoch > state.excludedAtEpoch;
  return {
    ...state,
    primaryHeardAt: now,
    excludedAtEpoch: isExcluded ? metadata.epoch : state.excludedAtEpoch,
  };
};
