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
import { enqueue } from './queue.js';
import { sendRejection } from './replies.js';
import { type StoreState, ownId } from '../state/state.js';
import type { StoreTransition } from '../state/transition.js';

/** How long all chunks of a configuration may take before its command is rejected. */
const chunksTimeoutMs = 6000;

/** What an operator waits before it sends such a configuration again. */
const chunksTimeoutRetryMs = 1000;

/** How long a request for chunks may stay without one before it is sent again. */
const chunkRequestIntervalMs = 300;

type AwaitingChunks = NonNullable<ReturnType<StoreState['awaitingChunks']['get']>>;

/** Whether this very command is on its way already. */
const isUnderWay = (state: StoreState, { caller }: ApplyCommand): boolean =>
  state.awaitingChunks.has(caller.id) ||
  [...state.compiling.values()].flat().some((command) => command.caller.id === caller.id) ||
  state.commandQueue.some(
    (command) => command.kind === 'applyConfiguration' && command.caller.id === caller.id,
  ) ||
  (state.primaryWrite?.replies.some((reply) => reply.id === caller.id) ?? false);

/** Has the configuration compiled once all its chunks are here; one that is being compiled already is not again. */
const compile = (state: StoreState, command: ApplyCommand): StoreTransition => {
  const others = state.compiling.get(command.hash) ?? [];
  const next = {
    ...state,
    compiling: withEntry(state.compiling, command.hash, [...others, command]),
  };
  if (others.length > 0) return transition(next);
  const texts = command.chunkHashes.map((hash) => state.heldChunks.get(hash) ?? '');
  return transition(next, { kind: 'compileConfiguration', hash: command.hash, texts });
};

/** Requests some of the chunks that are missing; the next ones once these are here. */
const requestChunks = (
  state: StoreState,
  upload: Pick<AwaitingChunks, 'command' | 'since'>,
  missing: readonly Hash[],
  now: Timestamp,
): StoreTransition => {
  const hashes = missing.slice(0, maxChunksPerRequest);
  const awaitingChunks = withEntry(state.awaitingChunks, upload.command.caller.id, {
    ...upload,
    requestedAt: now,
    outstandingChunks: hashes.length,
  });
  return transition(
    { ...state, awaitingChunks },
    send(upload.command.caller.to, {
      kind: 'piece-request',
      node: ownId(state),
      hashes: [...hashes],
    }),
  );
};

/** An operator hands a configuration in: its chunks are requested unless they are here. */
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

/** Goes on with an upload once the chunks that it requested last are here. */
const advanceApply = (
  state: StoreState,
  id: CommandId,
  upload: AwaitingChunks,
  now: Timestamp,
): StoreTransition => {
  const missing = missingChunks(state, upload.command.chunkHashes);
  if (missing.length > 0) return requestChunks(state, upload, missing, now);
  return compile(
    { ...state, awaitingChunks: withoutEntry(state.awaitingChunks, id) },
    upload.command,
  );
};

/** A chunk came in; one whose content doesn't fit its hash is ignored. */
export const onChunk = (
  state: StoreState,
  chunk: FrameOf<'piece'>,
  now: Timestamp,
): StoreTransition => {
  if (state.heldChunks.has(chunk.hash) || contentHash(chunk.data) !== chunk.hash)
    return transition(state);
  const held = { ...state, heldChunks: withEntry(state.heldChunks, chunk.hash, chunk.data) };
  let next = storeLackingChunk(held, chunk.hash);
  for (const [id, upload] of state.awaitingChunks) {
    if (!upload.command.chunkHashes.includes(chunk.hash)) continue;
    if (upload.outstandingChunks > 1) {
      const row = { ...upload, outstandingChunks: upload.outstandingChunks - 1, requestedAt: now };
      next = transition(
        { ...next.state, awaitingChunks: withEntry(next.state.awaitingChunks, id, row) },
        ...next.effects,
      );
    } else next = prependEffects(next.effects, advanceApply(next.state, id, upload, now));
  }
  return next;
};

/** Queues a configuration, and before it the writes that store the chunks of a large one. */
const enqueueApply = (state: StoreState, command: ApplyCommand): StoreTransition => {
  const storeChunks = command.issues.length > 0 ? [] : storeChunksCommands(state, command);
  let next: StoreTransition = transition(state);
  for (const queued of [...storeChunks, command])
    next = prependEffects(next.effects, enqueue(next.state, queued));
  return next;
};

/** A configuration was compiled: all commands that bring it go on, with the faults that were found. */
export const onCompiled = (
  state: StoreState,
  hash: Hash,
  issues: ApplyCommand['issues'],
): StoreTransition => {
  let next: StoreTransition = transition({
    ...state,
    compiling: withoutEntry(state.compiling, hash),
  });
  for (const command of state.compiling.get(hash) ?? [])
    next = prependEffects(next.effects, enqueueApply(next.state, { ...command, issues }));
  return next;
};

/** Requests chunks again that did not come, and rejects uploads that took too long. */
export const tickAwaitingChunks = (before: StoreState, now: Timestamp): StoreTransition => {
  const state = releaseChunks(before);
  let next: StoreTransition = transition(state);
  for (const [id, upload] of state.awaitingChunks) {
    if (now - upload.since > chunksTimeoutMs) {
      const rejection = sendRejection(
        upload.command.caller,
        'not all pieces came in time',
        chunksTimeoutRetryMs,
      );
      next = prependEffects(
        next.effects,
        transition(
          { ...next.state, awaitingChunks: withoutEntry(next.state.awaitingChunks, id) },
          rejection,
        ),
      );
    } else if (now - upload.requestedAt > chunkRequestIntervalMs) {
      next = prependEffects(next.effects, advanceApply(next.state, id, upload, now));
    }
  }
  return next;
};
