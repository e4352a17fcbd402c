/**
 * Pieces of descriptions on their way into the table. A write goes to each backup in one frame, so
 * the pieces of a large description are stored by writes of their own, of bounded size, before the
 * write that puts it in force.
 */
import { type Hash, filterEntries } from '@switchwheel/types';
import type { Put } from '@switchwheel/transport';
import { type Control, erase, keyOf } from '@switchwheel/configuration';
import type { Command, Store } from '../state/state.js';

/** The most characters of pieces that one command adds to a write. */
export const maxPieceCharacters = 1024 * 1024;

type ApplyCommand = Extract<Command, { kind: 'apply' }>;
type PiecesCommand = Extract<Command, { kind: 'pieces' }>;

/** Keeps the pieces that an order needs and the table has: from here on its fate does not depend on the table. */
export const holdPieces = (state: Store, order: readonly Hash[]): Store => {
  const found = order.flatMap((hash) => {
    const data = state.heldPieces.has(hash) ? undefined : state.control.pieces.get(hash);
    return data === undefined ? [] : [[hash, data] as const];
  });
  return found.length === 0
    ? state
    : { ...state, heldPieces: new Map([...state.heldPieces, ...found]) };
};

/** The pieces of an order that are not held: they have to be asked for. */
export const missingPieces = (
  state: Pick<Store, 'heldPieces'>,
  order: readonly Hash[],
): readonly Hash[] => order.filter((hash) => !state.heldPieces.has(hash));

/** The held pieces that are not in the table yet, or not any more. */
const unstored = (
  state: Pick<Store, 'heldPieces'>,
  control: Control,
  hashes: readonly Hash[],
): readonly { readonly hash: Hash; readonly data: string }[] =>
  hashes.flatMap((hash) => {
    const data = control.pieces.has(hash) ? undefined : state.heldPieces.get(hash);
    return data === undefined ? [] : [{ hash, data }];
  });

/** The writes that go before a description: none if its pieces fit the write that puts it in force. */
export const piecesCommands = (state: Store, command: ApplyCommand): readonly PiecesCommand[] => {
  const batches: Hash[][] = [[]];
  let size = 0;
  for (const { hash, data } of unstored(state, state.control, command.order)) {
    if (size > 0 && size + data.length > maxPieceCharacters) {
      batches.push([]);
      size = 0;
    }
    batches.at(-1)?.push(hash);
    size += data.length;
  }
  return batches.length === 1 ? [] : batches.map((hashes) => ({ kind: 'pieces', hashes }));
};

/** The entries that store the pieces which came in. */
export const piecePuts = (
  state: Pick<Store, 'heldPieces'>,
  control: Control,
  hashes: readonly Hash[],
): readonly Put[] =>
  unstored(state, control, hashes).map(({ hash, data }) => ({ key: keyOf.piece(hash), data }));

/** The pieces that a command which waits for its write relies on. */
const piecesOf = (command: Command): readonly Hash[] => {
  if (command.kind === 'apply') return command.order;
  return command.kind === 'pieces' ? command.hashes : [];
};

/** Drops the pieces that neither this description, nor the one in force, nor a waiting one needs. */
export const unusedPieces = (
  state: Pick<Store, 'commandQueue'>,
  control: Control,
  command: ApplyCommand,
): readonly Put[] => {
  const waiting = state.commandQueue.flatMap(piecesOf);
  const kept = new Set([...command.order, ...(control.stored?.offer.pieces ?? []), ...waiting]);
  return [...control.pieces.keys()]
    .filter((hash) => !kept.has(hash))
    .map((hash) => erase(keyOf.piece(hash)));
};

/** Gives up the pieces in memory that no description under way needs. */
export const releasePieces = (state: Store): Store => {
  if (state.heldPieces.size === 0) return state;
  const ordersUnderWay = [
    ...[...state.awaitingPieces.values()].map((one) => one.command),
    ...[...state.compiling.values()].flat(),
  ];
  const needed = new Set([
    ...ordersUnderWay.flatMap((one) => one.order),
    ...state.commandQueue.flatMap(piecesOf),
  ]);
  const heldPieces = filterEntries(state.heldPieces, (_, hash) => needed.has(hash));
  return heldPieces === state.heldPieces ? state : { ...state, heldPieces };
};
