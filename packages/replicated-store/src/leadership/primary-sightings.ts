/**
 * What a store concludes from a frame of a primary: that there is one, and whether it counts this store in.
 */

import type { Timestamp } from '@switchwheel/types';
import type { ClusterMetadata } from '@switchwheel/transport';
import { type StoreState, ownId } from '../state/state.js';

/** Takes note of a primary: of its being there, and of whether it counts this store in. */
export const notePrimary = (
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
  const out = !metadata.inSyncSet.includes(ownId(state)) && metadata.epoch > state.excludedAtEpoch;
  return {
    ...state,
    primaryHeardAt: now,
    excludedAtEpoch: out ? metadata.epoch : state.excludedAtEpoch,
  };
};
