/**
 * Updates of a peer's status from its acknowledgements and refusals of writes.
 */

import type { NodeId, Timestamp } from '@switchwheel/types';
import type { FrameOf } from '@switchwheel/transport';
import type { PeerStatus } from '../state/peers.js';
import type { StoreState } from '../state/state.js';

/** Records the log position that a store acknowledged. */
export const recordAcknowledgement = (
  state: StoreState,
  acknowledgement: FrameOf<'replicated'>,
  now: Timestamp,
): StoreState => {
  const peer = state.peers.get(acknowledgement.node);
  if (peer === undefined) return state;
  const updatedPeer: PeerStatus = {
    ...peer,
    logPosition: { epoch: acknowledgement.epoch, seq: acknowledgement.seq },
    isDiskFull: false,
    heardAt: now,
    progressAt: now,
  };
  return { ...state, peers: new Map([...state.peers, [acknowledgement.node, updatedPeer]]) };
};

/** Excludes a backup that refused a write from the next in-sync set until it sends another status. */
export const recordRefusal = (state: StoreState, node: NodeId): StoreState => {
  const peer = state.peers.get(node);
  if (peer === undefined) return state;
  const updatedPeer: PeerStatus = { ...peer, isDiskFull: true };
  return { ...state, peers: new Map([...state.peers, [node, updatedPeer]]) };
};
