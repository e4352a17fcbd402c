/**
 * Repair of a description in force that lacks pieces in the table, as a fleet may have it on disk from an earlier
 * version. Registries keep the pieces that their nodes asked for, so the primary asks them and stores what comes.
 */
import {
  type Hash,
  type Timestamp,
  type Transition,
  prependEffects,
  transition,
} from '@switchwheel/types';
import { log, send } from '@switchwheel/transport';
import type { StoreEffect } from '../state/event.js';
import { type Store, ownId } from '../state/state.js';
import { enqueue } from './queue.js';

type Done = Transition<Store, StoreEffect>;
/** How often registries are asked for what the table lacks. */
const repairInterval = 500;
const maxPiecesPerRequest = 64;

/** The pieces of the description in force that the table lacks. */
export const lackingPieces = ({ control }: Pick<Store, 'control'>): readonly Hash[] =>
  control.stored?.offer.pieces.filter((hash) => !control.pieces.has(hash)) ?? [];

/** Asks every registry for the pieces that the table lacks. */
export const tickRepair = (state: Store, now: Timestamp): Done => {
  if (now - state.repairAskedAt < repairInterval) return transition(state);
  const hashes = lackingPieces(state).slice(0, maxPiecesPerRequest);
  if (hashes.length === 0) return transition(state);
  const word = { kind: 'piece-request' as const, node: ownId(state), hashes };
  return transition(
    { ...state, repairAskedAt: now },
    log('error', 'the description in force lacks pieces: registries are asked', [
      'missing',
      hashes.length,
    ]),
    ...[...state.subscribers.values()].map((one) => send(one.address, word)),
  );
};

/** Stores a held piece if the description in force lacks it. */
export const storeLackingPiece = (state: Store, hash: Hash): Done => {
  if (!lackingPieces(state).includes(hash)) return transition(state);
  return prependEffects(
    [log('info', 'a lacking piece came and is stored', ['piece', hash])],
    enqueue(state, { kind: 'pieces', hashes: [hash] }),
  );
};
