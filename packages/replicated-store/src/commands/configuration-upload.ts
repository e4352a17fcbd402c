/**
 * Upload of a configuration: requests its chunks from the registry that forwarded it, has it compiled with the code
 * that nodes use, and queues it with the commands that store its chunks.
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
import { storeMissingChunk } from './chunk-repair.js';
import {
  holdChunks,
  maxChunksPerRequest,
  missingChunks,
  freeUnusedChunks,
  storeChunksCommands,
} from './chunks.js';
import type { ApplyCommand } from './command.js';
import { enqueue } from './queue.js';
import { sendRejection } from './replies.js';
import { type StoreState, ownId } from '../state/state.js';
import type { StoreTransition } from '../state/transition.js';

/** Time to receive all chunks of a configuration before its command is rejected. */
const chunksTimeoutMs = 6000;

/** Retry delay for an operator after that timeout. */
const chunksTimeoutRetryMs = 1000;

/** Time without a received chunk after which a request is sent again. */
const chunkRequestIntervalMs = 300;

type AwaitingChunks = NonNullable<ReturnType<StoreState['awaitingChunks']['get']>>;

/** Whether the command with this id is already being processed. */
const isPending = (state: StoreState, { caller }: ApplyCommand): boolean =>
  state.awaitingChunks.has(caller.id) ||
  [...state.compiling.values()].flat().some((command) => command.caller.id === caller.id) ||
  state.commandQueue.some(
    (command) => command.kind === 'applyConfiguration' && command.caller.id === caller.id,
  ) ||
  (state.primaryWrite?.replies.some((reply) => reply.id === caller.id) ?? false);

/** Requests compilation of a configuration, unless another command has already requested it. */
const compile = (state: StoreState, command: ApplyCommand): StoreTransition => {
  const waitingCommands = state.compiling.get(command.hash) ?? [];
  const next = {
    ...state,
    compiling: withEntry(state.compiling, command.hash, [...waitingCommands, command]),
  };
  if (waitingCommands.length > 0) return transition(next);
  const texts = command.chunkHashes.map((hash) => state.heldChunks.get(hash) ?? '');
  return transition(next, { kind: 'compileConfiguration', hash: command.hash, texts });
};

/** Requests the next batch of missing chunks. */
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

/** Handles an operator's upload: requests missing chunks, or compiles the configuration if there are none. */
export const onApply = (
  before: StoreState,
  command: ApplyCommand,
  now: Timestamp,
): StoreTransition => {
  if (isPending(before, command)) return transition(before);
  const state = holdChunks(before, command.chunkHashes);
  const missing = missingChunks(state, command.chunkHashes);
  if (missing.length === 0) return compile(state, command);
  return requestChunks(state, { command, since: now }, missing, now);
};

/** Requests the next missing chunks of an upload, or compiles its configuration. */
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

/** Handles a received chunk; ignores one that does not match its hash. */
export const onChunk = (
  state: StoreState,
  chunk: FrameOf<'piece'>,
  now: Timestamp,
): StoreTransition => {
  if (state.heldChunks.has(chunk.hash) || contentHash(chunk.data) !== chunk.hash)
    return transition(state);
  const withChunk = { ...state, heldChunks: withEntry(state.heldChunks, chunk.hash, chunk.data) };
  let next = storeMissingChunk(withChunk, chunk.hash);
  for (const [id, upload] of state.awaitingChunks) {
    if (!upload.command.chunkHashes.includes(chunk.hash)) continue;
    if (upload.outstandingChunks > 1) {
      const updatedUpload = {
        ...upload,
        outstandingChunks: upload.outstandingChunks - 1,
        requestedAt: now,
      };
      next = transition(
        { ...next.state, awaitingChunks: withEntry(next.state.awaitingChunks, id, updatedUpload) },
        ...next.effects,
      );
    } else next = prependEffects(next.effects, advanceApply(next.state, id, upload, now));
  }
  return next;
};

/** Queues a configuration, preceded by the commands that store the chunks of a large one. */
const enqueueApply = (state: StoreState, command: ApplyCommand): StoreTransition => {
  const storeChunks = command.issues.length > 0 ? [] : storeChunksCommands(state, command);
  let next: StoreTransition = transition(state);
  for (const queued of [...storeChunks, command])
    next = prependEffects(next.effects, enqueue(next.state, queued));
  return next;
};

/** Handles a compiled configuration: queues all commands that carry it, with the validation issues found. */
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

/** Repeats chunk requests without a response, and rejects uploads that timed out. */
export const tickAwaitingChunks = (before: StoreState, now: Timestamp): StoreTransition => {
  const state = freeUnusedChunks(before);
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
