/**
 * Repair of a configuration in force whose chunks are not all in the table, as a fleet may have it on disk from
 * an earlier version. Registries keep the chunks that their nodes asked for, so the primary asks them and stores what comes.
 */

import { type Hash, type Timestamp, prependEffects, transition } from '@switchwheel/types';
import { log, send } from '@switchwheel/transport';
import { maxChunksPerRequest } from './chunks.js';
import { enqueue } from './queue.js';
import { type StoreState, ownId } from '../state/state.js';
import type { StoreTransition } from '../state/transition.js';

/** How often registries are asked for what the table lacks. */
const repairIntervalMs = 500;

/** The pieces of the description in force that the table lacks. */
export const lackingChunks = ({ control }: Pick<StoreState, 'control'>): readonly Hash[] =>
  control.configuration?.offer.pieces.filter((hash) => !control.chunks.has(hash)) ?? [];

/** Asks every registry for the pieces that the table lacks. */
export const tickChunkRepair = (state: StoreState, now: Timestamp): StoreTransition => {
  if (now - state.chunksRequestedAt < repairIntervalMs) return transition(state);
  const hashes = lackingChunks(state).slice(0, maxChunksPerRequest);
  if (hashes.length === 0) return transition(state);
  const word = { kind: 'piece-request' as const, node: ownId(state), hashes };
  return transition(
    { ...state, chunksRequestedAt: now },
    log('error', 'the description in force lacks pieces: registries are asked', [
      'missing',
      hashes.length,
    ]),
    ...[...state.subscribers.values()].map((one) => send(one.address, word)),
  );
};

/** Stores a held piece if the description in force lacks it. */
export const storeLackingChunk = (state: StoreState, hash: Hash): StoreTransition => {
  if (!lackingChunks(state).includes(hash)) return transition(state);
  return prependEffects(
    [log('info', 'a lacking piece came and is stored', ['piece', hash])],
    enqueue(state, { kind: 'storeChunks', hashes: [hash] }),
  );
};
