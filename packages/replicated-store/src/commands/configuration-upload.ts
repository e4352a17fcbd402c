/**
 * A configuration on its way into the queue of commands: its chunks are requested from the registry that sent
 * it, it is compiled with the nodes' own code, and then queued with the writes that store its chunks.
 */

import {
  type CommandId,
  type Hash,
  type Timestamp,
  prependEffects,
  transition,
  withEntry,
  withoutEntry,
} from '@switchwheel/types';
import { type FrameOf, send } from '@switchwheel/transport';
import { contentHash } from '@switchwheel/configuration';
import { storeLackingChunk } from './chunk-repair.js';
import {
  holdChunks,
  maxChunksPerRequest,
  missingChunks,
  releaseChunks,
  storeChunksCommands,
} from './chunks.js';
import type { ApplyCommand } from './command.js';
import { enqueue, sendReply } from './queue.js';
import { type StoreState, ownId } from '../state/state.js';
import type { StoreTransition } from '../state/transition.js';

const chunksTimeoutMs = 6000;

const chunkRequestIntervalMs = 300;

type AwaitingChunks = NonNullable<ReturnType<StoreState['awaitingChunks']['get']>>;

/** Whether this very order is on its way already. */
const isUnderWay = (state: StoreState, { caller: asker }: ApplyCommand): boolean =>
  state.awaitingChunks.has(asker.id) ||
  [...state.compiling.values()].flat().some((one) => one.caller.id === asker.id) ||
  state.commandQueue.some(
    (one) => one.kind === 'applyConfiguration' && one.caller.id === asker.id,
  ) ||
  (state.primaryWrite?.replies.some((one) => one.id === asker.id) ?? false);

/** Has the description compiled with the nodes' own code once all its pieces are here. */
const compile = (state: StoreState, command: ApplyCommand): StoreTransition => {
  const others = state.compiling.get(command.hash) ?? [];
  const next = {
    ...state,
    compiling: withEntry(state.compiling, command.hash, [...others, command]),
  };
  if (others.length > 0) return transition(next);
  const texts = command.chunkHashes.map((one) => state.heldChunks.get(one) ?? '');
  return transition(next, { kind: 'compileConfiguration', hash: command.hash, texts });
};

/** Asks for some of the pieces that lack: the next ones when these are here. */
const requestChunks = (
  state: StoreState,
  one: Pick<AwaitingChunks, 'command' | 'since'>,
  missing: readonly Hash[],
  now: Timestamp,
): StoreTransition => {
  const hashes = missing.slice(0, maxChunksPerRequest);
  const lacking = withEntry(state.awaitingChunks, one.command.caller.id, {
    ...one,
    requestedAt: now,
    outstandingChunks: hashes.length,
  });
  return transition(
    { ...state, awaitingChunks: lacking },
    send(one.command.caller.to, { kind: 'piece-request', node: ownId(state), hashes: [...hashes] }),
  );
};

export const onApply = (
  before: StoreState,
  command: ApplyCommand,
  now: Timestamp,
): StoreTransition => {
  if (isUnderWay(before, command)) return transition(before);
  const state = holdChunks(before, command.chunkHashes);
  const missing = missingChunks(state, command.chunkHashes);
  if (missing.length === 0) return compile(state, command);
  return requestChunks(state, { command, since: now }, missing, now);
};

/** Goes on with an order that waits for pieces, once those that it asked for last are here. */
const advanceApply = (
  state: StoreState,
  id: CommandId,
  one: AwaitingChunks,
  now: Timestamp,
): StoreTransition => {
  const missing = missingChunks(state, one.command.chunkHashes);
  if (missing.length > 0) return requestChunks(state, one, missing, now);
  return compile({ ...state, awaitingChunks: withoutEntry(state.awaitingChunks, id) }, one.command);
};

/** A piece of a description came in. */
export const onChunk = (
  state: StoreState,
  chunk: FrameOf<'piece'>,
  now: Timestamp,
): StoreTransition => {
  if (state.heldChunks.has(chunk.hash) || contentHash(chunk.data) !== chunk.hash)
    return transition(state);
  const held = { ...state, heldChunks: withEntry(state.heldChunks, chunk.hash, chunk.data) };
  let next = storeLackingChunk(held, chunk.hash);
  for (const [id, one] of state.awaitingChunks) {
    if (!one.command.chunkHashes.includes(chunk.hash)) continue;
    if (one.outstandingChunks > 1) {
      const row = { ...one, outstandingChunks: one.outstandingChunks - 1, requestedAt: now };
      next = transition(
        { ...next.state, awaitingChunks: withEntry(next.state.awaitingChunks, id, row) },
        ...next.effects,
      );
    } else next = prependEffects(next.effects, advanceApply(next.state, id, one, now));
  }
  return next;
};

/** Queues a description, and before it the writes that store the pieces of a large one. */
const enqueueApply = (state: StoreState, command: ApplyCommand): StoreTransition => {
  const ahead = command.faults.length > 0 ? [] : storeChunksCommands(state, command);
  let next: StoreTransition = transition(state);
  for (const one of [...ahead, command])
    next = prependEffects(next.effects, enqueue(next.state, one));
  return next;
};

/** The compile of a description ended. */
export const onCompiled = (
  state: StoreState,
  hash: Hash,
  faults: ApplyCommand['faults'],
): StoreTransition => {
  let next: StoreTransition = transition({
    ...state,
    compiling: withoutEntry(state.compiling, hash),
  });
  for (const command of state.compiling.get(hash) ?? [])
    next = prependEffects(next.effects, enqueueApply(next.state, { ...command, faults }));
  return next;
};

/** Lets time pass over calls that lack pieces. */
export const tickAwaitingChunks = (before: StoreState, now: Timestamp): StoreTransition => {
  const state = releaseChunks(before);
  let next: StoreTransition = transition(state);
  for (const [id, one] of state.awaitingChunks) {
    if (now - one.since > chunksTimeoutMs) {
      const told = sendReply({
        ...one.command.caller,
        status: 503,
        body: JSON.stringify({
          kind: 'rejected',
          id,
          text: 'not all pieces came in time',
          retryAfterMs: 1000,
        }),
      });
      next = prependEffects(
        next.effects,
        transition(
          { ...next.state, awaitingChunks: withoutEntry(next.state.awaitingChunks, id) },
          told,
        ),
      );
    } else if (now - one.requestedAt > chunkRequestIntervalMs) {
      next = prependEffects(next.effects, advanceApply(next.state, id, one, now));
    }
  }
  return next;
};
