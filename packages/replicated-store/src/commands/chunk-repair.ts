/**
 * Repair of a configuration in force with chunks missing from the table, as an earlier version may have left it on
 * disk. Registries cache chunks for their nodes, so the primary requests missing ones from them and stores them.
 */

import { type Hash, type Timestamp, prependEffects, transition } from '@switchwheel/types';
import { log, send } from '@switchwheel/transport';
import { maxChunksPerRequest } from './chunks.js';
import { enqueue } from './queue.js';
import { type StoreState, ownId } from '../state/state.js';
import type { StoreTransition } from '../state/transition.js';

/** Interval of requests for missing chunks. */
const repairIntervalMs = 500;

/** Chunks of the configuration in force that are missing from the table. */
export const chunksMissingFromTable = ({ control }: Pick<StoreState, 'control'>): readonly Hash[] =>
  control.configuration?.offer.pieces.filter((hash) => !control.chunks.has(hash)) ?? [];

/** Requests missing chunks from every registry. */
export const tickChunkRepair = (state: StoreState, now: Timestamp): StoreTransition => {
  if (now - state.chunksRequestedAt < repairIntervalMs) return transition(state);
  const hashes = chunksMissingFromTable(state).slice(0, maxChunksPerRequest);
  if (hashes.length === 0) return transition(state);
  const request = { kind: 'piece-request' as const, node: ownId(state), hashes };
  return transition(
    { ...state, chunksRequestedAt: now },
    log('error', 'chunks missing, requesting them from registries', ['missing', hashes.length]),
    ...[...state.subscribers.values()].map(({ address }) => send(address, request)),
  );
};

/** Queues the storage of a received chunk if the configuration in force needs it and the table lacks it. */
export const storeMissingChunk = (state: StoreState, hash: Hash): StoreTransition => {
  if (!chunksMissingFromTable(state).includes(hash)) return transition(state);
  return prependEffects(
    [log('info', 'missing chunk received', ['chunk', hash])],
    enqueue(state, { kind: 'storeChunks', hashes: [hash] }),
  );
};
