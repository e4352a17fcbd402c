/**
 * What the acknowledgements of backups say of these backups.
 */

import type { NodeId, Timestamp } from '@switchwheel/types';
import type { FrameOf } from '@switchwheel/transport';
import type { PeerStatus } from '../state/peers.js';
import type { StoreState } from '../state/state.js';

/** Notes how far a store has come by its acknowledgement. */
export const noteAcknowledgement = (
  state: StoreState,
  acknowledgement: FrameOf<'replicated'>,
  now: Timestamp,
): StoreState => {
  const peer = state.peers.get(acknowledgement.node);
  if (peer === undefined) return state;
  const row: PeerStatus = {
    ...peer,
    logPosition: { epoch: acknowledgement.epoch, seq: acknowledgement.seq },
    isDiskFull: false,
    heardAt: now,
    progressAt: now,
  };
  return { ...state, peers: new Map([...state.peers, [acknowledgement.node, row]]) };
};

/** A backup that refused a write is no candidate for the next set before it speaks again. */
export const noteRefusal = (state: StoreState, node: NodeId): StoreState => {
  const peer = state.peers.get(node);
  if (peer === undefined) return state;
  const row: PeerStatus = { ...peer, isDiskFull: true };
  return { ...state, peers: new Map([...state.peers, [node, row]]) };
};
