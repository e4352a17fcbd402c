/**
 * Storage of configuration chunks in the table. A write is sent to each backup in one frame, so the chunks of a large
 * configuration are stored by separate writes of bounded size before the write that puts it in force.
 */

import { type Hash, filterEntries } from '@switchwheel/types';
import type { TableMutation } from '@switchwheel/transport';
import { type ControlState, controlKeys, deleteRecord } from '@switchwheel/configuration';
import type { ApplyCommand, Command } from './command.js';
import type { StoreState } from '../state/state.js';

/** Maximum number of characters of chunks that one command adds to a write. */
export const maxChunkCharactersPerWrite = 1024 * 1024;

/** Maximum number of chunks in one request. */
export const maxChunksPerRequest = 64;

type StoreChunksCommand = Extract<Command, { kind: 'storeChunks' }>;

/** Copies the chunks that an upload needs from the table, so that it no longer depends on the table. */
export const holdChunks = (state: StoreState, hashes: readonly Hash[]): StoreState => {
  const copiedChunks = hashes.flatMap((hash) => {
    const data = state.heldChunks.has(hash) ? undefined : state.control.chunks.get(hash);
    return data === undefined ? [] : [[hash, data] as const];
  });
  return copiedChunks.length === 0
    ? state
    : { ...state, heldChunks: new Map([...state.heldChunks, ...copiedChunks]) };
};

/** Chunks of an upload that are not held and must be requested. */
export const missingChunks = (
  state: Pick<StoreState, 'heldChunks'>,
  hashes: readonly Hash[],
): readonly Hash[] => hashes.filter((hash) => !state.heldChunks.has(hash));

/** Held chunks that are not in the table. */
const unstoredChunks = (
  state: Pick<StoreState, 'heldChunks'>,
  control: ControlState,
  hashes: readonly Hash[],
): readonly { readonly hash: Hash; readonly data: string }[] =>
  hashes.flatMap((hash) => {
    const data = control.chunks.has(hash) ? undefined : state.heldChunks.get(hash);
    return data === undefined ? [] : [{ hash, data }];
  });

/** Commands that store the chunks of a large configuration in advance; none if they fit into its own write. */
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

/** Table mutations that store the held chunks which are not in the table. */
export const chunkPuts = (
  state: Pick<StoreState, 'heldChunks'>,
  control: ControlState,
  hashes: readonly Hash[],
): readonly TableMutation[] =>
  unstoredChunks(state, control, hashes).map(({ hash, data }) => ({
    key: controlKeys.chunk(hash),
    data,
  }));

/** Chunks that a queued command depends on. */
const chunksOf = (command: Command): readonly Hash[] => {
  if (command.kind === 'applyConfiguration') return command.chunkHashes;
  return command.kind === 'storeChunks' ? command.hashes : [];
};

/** Deletes chunks that neither this configuration, nor the one in force, nor a queued one needs. */
export const unusedChunkDeletions = (
  state: Pick<StoreState, 'commandQueue'>,
  control: ControlState,
  command: ApplyCommand,
): readonly TableMutation[] => {
  const queuedHashes = state.commandQueue.flatMap(chunksOf);
  const neededHashes = new Set([
    ...command.chunkHashes,
    ...(control.configuration?.offer.pieces ?? []),
    ...queuedHashes,
  ]);
  return [...control.chunks.keys()]
    .filter((hash) => !neededHashes.has(hash))
    .map((hash) => deleteRecord(controlKeys.chunk(hash)));
};

/** Releases held chunks that no pending configuration needs. */
export const freeUnusedChunks = (state: StoreState): StoreState => {
  if (state.heldChunks.size === 0) return state;
  const uploads = [
    ...[...state.awaitingChunks.values()].map((upload) => upload.command),
    ...[...state.compiling.values()].flat(),
  ];
  const neededHashes = new Set([
    ...uploads.flatMap((command) => command.chunkHashes),
    ...state.commandQueue.flatMap(chunksOf),
  ]);
  const heldChunks = filterEntries(state.heldChunks, (_, hash) => neededHashes.has(hash));
  return heldChunks === state.heldChunks ? state : { ...state, heldChunks };
};
