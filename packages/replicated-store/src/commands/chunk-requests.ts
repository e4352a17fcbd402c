/**
 * Registries' requests for chunks of the configuration in force.
 */

import { type Hash, transition } from '@switchwheel/types';
import { type FrameOf, type Peer, log, send } from '@switchwheel/transport';
import type { StoreEffect } from '../state/events.js';
import type { StoreState } from '../state/state.js';
import type { StoreTransition } from '../state/transition.js';

/** Tells of pieces that were asked for and that the table does not hold. */
const logMissedChunks = (
  state: StoreState,
  from: Peer,
  hashes: readonly Hash[],
): readonly StoreEffect[] =>
  hashes.map((hash) =>
    log(
      'warn',
      'asked for a piece that the table does not hold',
      ['piece', hash],
      ['from', from.node],
      ['inForce', state.control.configuration?.offer.pieces.includes(hash) === true ? 'yes' : 'no'],
    ),
  );

/** A registry lacks pieces of the description in force. */
export const onChunkRequest = (
  state: StoreState,
  from: Peer,
  request: FrameOf<'piece-request'>,
): StoreTransition => {
  const sent = request.hashes.flatMap((hash): readonly StoreEffect[] => {
    const data = state.control.chunks.get(hash);
    return data === undefined ? [] : [send(from.address, { kind: 'piece', hash, data })];
  });
  const missed = request.hashes.filter((hash) => !state.control.chunks.has(hash));
  if (missed.length === 0) return transition(state, ...sent);
  return transition(
    { ...state, missedChunkRequests: state.missedChunkRequests + missed.length },
    ...sent,
    ...logMissedChunks(state, from, missed),
  );
};
