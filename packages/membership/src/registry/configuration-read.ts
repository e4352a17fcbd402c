/**
 * Reading the configuration back. The primary names the manifest in force, which makes the read
 * linearizable; its chunks are immutable and named by their hashes, so they come from this
 * registry's cache or, a bounded batch of frames at a time, from the store.
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

/** The store's view that names the configuration in force. */
const configurationView = 'description';
/** How long a read may take in all once the primary has named the manifest. */
const readTimeoutMs = 20_000;
const maxChunksPerRequest = 64;

/** The store's answer to the view; its other members are passed on as they are. */
const viewedOffer = v.looseObject({ offer: v.nullable(configManifest) });

/** Whether a pending command is a read of the whole configuration. */
export const readsConfiguration = (command: Pick<PendingCommand, 'verb' | 'body'>): boolean =>
  command.verb === 'view' && command.body === configurationView;

/** Joins the configuration's text to the other members without parsing it again. */
const replyBody = (replyFields: object, configuration: string): string =>
  `${JSON.stringify(replyFields).slice(0, -1)},"description":${configuration}}`;

/** Requests the next chunks that are missing, or answers the read if there are none. */
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

/** The primary named the manifest in force: its chunks are collected. */
export const onOfferNamed = (
  state: RegistryState,
  command: PendingCommand,
  result: FrameOf<'called'>,
  now: Timestamp,
): RegistryTransition => {
  const named = v.safeParse(viewedOffer, JSON.parse(result.body));
  if (!named.success) return transition(state);
  const { offer, ...otherFields } = named.output;
  if (offer === null)
    return transition(
      { ...state, pendingCommands: withoutEntry(state.pendingCommands, result.id) },
      replyText(command.correlationId, 200, replyBody({ ...otherFields, hash: null }, 'null')),
    );
  const replyFields = { ...otherFields, generation: offer.generation, hash: offer.hash };
  const extended = { ...command, timeoutMs: readTimeoutMs };
  return advanceRead(state, result.id, extended, { offer, replyFields }, now);
};

/** A chunk came: the reads that waited for it go on. */
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

/** The chunks that pending reads still need: they are kept when another configuration comes into force. */
export const chunksOfReads = (state: RegistryState): readonly Hash[] =>
  [...state.pendingCommands.values()].flatMap(
    (command) => command.configurationRead?.offer.pieces ?? [],
  );
