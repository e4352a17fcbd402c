/**
 * Reads of the whole configuration. The primary returns the manifest in force, which makes the read
 * linearizable. Chunks are immutable and identified by their hashes, so they come from this registry's
 * cache or, in bounded batches, from the store.
 */

import * as v from 'valibot';
import {
  type CommandId,
  type Hash,
  type Timestamp,
  transition,
  withEntry,
  withoutEntry,
} from '@switchwheel/types';
import { type FrameOf, configManifest, send } from '@switchwheel/transport';
import { joinChunks } from '@switchwheel/configuration';
import { type RegistryEffect, replyText } from './event.js';
import { primaryHolder } from './queries.js';
import type {
  ConfigurationRead,
  PendingCommand,
  RegistryState,
  RegistryTransition,
} from './state.js';

/** Name of the store's view that returns the manifest of the configuration in force. */
const configurationView = 'description';
/** Timeout of a read from its receipt, once the manifest is known. */
const readTimeoutMs = 20_000;
const maxChunksPerRequest = 64;

/** Schema of the store's reply to the view; its other fields are passed on unchanged. */
const manifestReply = v.looseObject({ offer: v.nullable(configManifest) });

/** Whether a pending command is a read of the whole configuration. */
export const readsConfiguration = (command: Pick<PendingCommand, 'verb' | 'body'>): boolean =>
  command.verb === 'view' && command.body === configurationView;

/** Adds the configuration's text to the other fields without parsing it. */
const replyBody = (replyFields: object, configuration: string): string =>
  `${JSON.stringify(replyFields).slice(0, -1)},"description":${configuration}}`;

/** Requests the next missing chunks, or replies to the read if there are none. */
const advanceRead = (
  state: RegistryState,
  id: CommandId,
  command: PendingCommand,
  read: Omit<ConfigurationRead, 'awaitedChunks'>,
  now: Timestamp,
): RegistryTransition => {
  const { pieces } = read.offer;
  const texts = pieces.flatMap((hash) => state.chunks.get(hash) ?? []);
  if (texts.length === pieces.length)
    return transition(
      { ...state, pendingCommands: withoutEntry(state.pendingCommands, id) },
      replyText(command.correlationId, 200, replyBody(read.replyFields, joinChunks(texts))),
    );
  const hashes = pieces.filter((hash) => !state.chunks.has(hash)).slice(0, maxChunksPerRequest);
  const next: PendingCommand = {
    ...command,
    forwardedAt: now,
    configurationRead: { ...read, awaitedChunks: new Set(hashes) },
  };
  const primary = primaryHolder(state);
  return transition(
    { ...state, pendingCommands: withEntry(state.pendingCommands, id, next) },
    ...(primary === undefined
      ? []
      : [send(primary.address, { kind: 'piece-request', node: state.member.node, hashes })]),
  );
};

/** Handles the primary's reply with the manifest in force: starts to collect its chunks. */
export const onManifestReply = (
  state: RegistryState,
  command: PendingCommand,
  result: FrameOf<'called'>,
  now: Timestamp,
): RegistryTransition => {
  const parsed = v.safeParse(manifestReply, JSON.parse(result.body));
  if (!parsed.success) return transition(state);
  const { offer, ...otherFields } = parsed.output;
  if (offer === null)
    return transition(
      { ...state, pendingCommands: withoutEntry(state.pendingCommands, result.id) },
      replyText(command.correlationId, 200, replyBody({ ...otherFields, hash: null }, 'null')),
    );
  const replyFields = { ...otherFields, generation: offer.generation, hash: offer.hash };
  const extended = { ...command, timeoutMs: readTimeoutMs };
  return advanceRead(state, result.id, extended, { offer, replyFields }, now);
};

/** Continues the reads that wait for a chunk which has been received. */
export const advanceReads = (
  state: RegistryState,
  hash: Hash,
  now: Timestamp,
): RegistryTransition => {
  let next = state;
  const effects: RegistryEffect[] = [];
  for (const [id, command] of state.pendingCommands) {
    const read = command.configurationRead;
    if (read?.awaitedChunks.has(hash) !== true) continue;
    const awaitedChunks = new Set([...read.awaitedChunks].filter((awaited) => awaited !== hash));
    if (awaitedChunks.size > 0) {
      const waiting: PendingCommand = {
        ...command,
        forwardedAt: now,
        configurationRead: { ...read, awaitedChunks },
      };
      next = { ...next, pendingCommands: withEntry(next.pendingCommands, id, waiting) };
      continue;
    }
    const done = advanceRead(next, id, command, read, now);
    next = done.state;
    effects.push(...done.effects);
  }
  return transition(next, ...effects);
};

/** Chunks of pending reads; they are kept when another configuration comes into force. */
export const chunksOfReads = (state: RegistryState): readonly Hash[] =>
  [...state.pendingCommands.values()].flatMap(
    (command) => command.configurationRead?.offer.pieces ?? [],
  );
