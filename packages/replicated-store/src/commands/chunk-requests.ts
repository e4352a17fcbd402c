/**
 * Requests of registries for chunks of the configuration in force.
 */

import { type Hash, transition } from '@switchwheel/types';
import { type FrameOf, type Peer, log, send } from '@switchwheel/transport';
import type { StoreEffect } from '../state/events.js';
import type { StoreState } from '../state/state.js';
import type { StoreTransition } from '../state/transition.js';

/** Logs requested chunks that are not in the table. */
const logMissedChunks = (
  state: StoreState,
  from: Peer,
  hashes: readonly Hash[],
): readonly StoreEffect[] =>
  hashes.map((hash) =>
    log(
      'warn',
      'requested chunk is not in the table',
      ['chunk', hash],
      ['from', from.node],
      ['inForce', state.control.configuration?.offer.pieces.includes(hash) === true ? 'yes' : 'no'],
    ),
  );

/** Sends requested chunks to a registry; counts and logs those that are not in the table. */
export const onChunkRequest = (
  state: StoreState,
  from: Peer,
  request: FrameOf<'piece-request'>,
): StoreTransition => {
  const replies = request.hashes.flatMap((hash): readonly StoreEffect[] => {
    const data = state.control.chunks.get(hash);
    return data === undefined ? [] : [send(from.address, { kind: 'piece', hash, data })];
  });
  const missed = request.hashes.filter((hash) => !state.control.chunks.has(hash));
  if (missed.length === 0) return transition(state, ...replies);
  return transition(
    { ...state, missedChunkRequests: state.missedChunkRequests + missed.length },
    ...replies,
    ...logMissedChunks(state, from, missed),
  );
};
