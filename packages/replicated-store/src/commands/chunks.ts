/**
 * Chunks of configurations on their way into the table. A write goes to each backup in one frame, so the chunks
 * of a large configuration are stored by writes of their own, of bounded size, before the write that puts it in force.
 */

import { type Hash, filterEntries } from '@switchwheel/types';
import type { TableMutation } from '@switchwheel/transport';
import { type ControlState, controlKeys, deleteRecord } from '@switchwheel/configuration';
import type { ApplyCommand, Command } from './command.js';
import type { StoreState } from '../state/state.js';

/** The most characters of pieces that one command adds to a write. */
export const maxChunkCharactersPerWrite = 1024 * 1024;

export const maxChunksPerRequest = 64;

type StoreChunksCommand = Extract<Command, { kind: 'storeChunks' }>;

/** Keeps the pieces that an order needs and the table has: from here on its fate does not depend on the table. */
export const holdChunks = (state: StoreState, order: readonly Hash[]): StoreState => {
  const found = order.flatMap((hash) => {
    const data = state.heldChunks.has(hash) ? undefined : state.control.chunks.get(hash);
    return data === undefined ? [] : [[hash, data] as const];
  });
  return found.length === 0
    ? state
    : { ...state, heldChunks: new Map([...state.heldChunks, ...found]) };
};

/** The pieces of an order that are not held: they have to be asked for. */
export const missingChunks = (
  state: Pick<StoreState, 'heldChunks'>,
  order: readonly Hash[],
): readonly Hash[] => order.filter((hash) => !state.heldChunks.has(hash));

/** The held pieces that are not in the table yet, or not any more. */
const unstoredChunks = (
  state: Pick<StoreState, 'heldChunks'>,
  control: ControlState,
  hashes: readonly Hash[],
): readonly { readonly hash: Hash; readonly data: string }[] =>
  hashes.flatMap((hash) => {
    const data = control.chunks.has(hash) ? undefined : state.heldChunks.get(hash);
    return data === undefined ? [] : [{ hash, data }];
  });

/** The writes that go before a description: none if its pieces fit the write that puts it in force. */
export const storeChunksCommands = (
  state: StoreState,
  command: ApplyCommand,
): readonly StoreChunksCommand[] => {
  const batches: Hash[][] = [[]];
  let size = 0;
  for (const { hash, data } of unstoredChunks(state, state.control, command.chunkHashes)) {
    if (size > 0 && size + data.length > maxChunkCharactersPerWrite) {
      batches.push([]);
      size = 0;
    }
    batches.at(-1)?.push(hash);
    size += data.length;
  }
  return batches.length === 1 ? [] : batches.map((hashes) => ({ kind: 'storeChunks', hashes }));
};

/** The entries that store the pieces which came in. */
export const chunkPuts = (
  state: Pick<StoreState, 'heldChunks'>,
  control: ControlState,
  hashes: readonly Hash[],
): readonly TableMutation[] =>
  unstoredChunks(state, control, hashes).map(({ hash, data }) => ({
    key: controlKeys.piece(hash),
    data,
  }));

/** The pieces that a command which waits for its write relies on. */
const chunksOf = (command: Command): readonly Hash[] => {
  if (command.kind === 'applyConfiguration') return command.chunkHashes;
  return command.kind === 'storeChunks' ? command.hashes : [];
};

/** Drops the pieces that neither this description, nor the one in force, nor a waiting one needs. */
export const unusedChunks = (
  state: Pick<StoreState, 'commandQueue'>,
  control: ControlState,
  command: ApplyCommand,
): readonly TableMutation[] => {
  const waiting = state.commandQueue.flatMap(chunksOf);
  const kept = new Set([
    ...command.chunkHashes,
    ...(control.configuration?.offer.pieces ?? []),
    ...waiting,
  ]);
  return [...control.chunks.keys()]
    .filter((hash) => !kept.has(hash))
    .map((hash) => deleteRecord(controlKeys.piece(hash)));
};

/** Gives up the pieces in memory that no description under way needs. */
export const releaseChunks = (state: StoreState): StoreState => {
  if (state.heldChunks.size === 0) return state;
  const ordersUnderWay = [
    ...[...state.awaitingChunks.values()].map((one) => one.command),
    ...[...state.compiling.values()].flat(),
  ];
  const needed = new Set([
    ...ordersUnderWay.flatMap((one) => one.chunkHashes),
    ...state.commandQueue.flatMap(chunksOf),
  ]);
  const heldPieces = filterEntries(state.heldChunks, (_, hash) => needed.has(hash));
  return heldPieces === state.heldChunks ? state : { ...state, heldChunks: heldPieces };
};
