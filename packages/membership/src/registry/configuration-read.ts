/**
 * Reading the description back. The primary names the offer in force, which makes the read
 * linearizable; its pieces are immutable and named by their hashes, so they come from this
 * registry's cache or, a bounded batch of frames at a time, from the store.
 */
import * as v from 'valibot';
import {
  type CommandId,
  type Hash,
  type Timestamp,
  type Transition,
  withoutEntry,
  withEntry,
  transition,
} from '@switchwheel/types';
import {
  type FrameOf,
  type ConfigManifest,
  configManifest as offerSchema,
  send,
} from '@switchwheel/transport';
import { joinChunks } from '@switchwheel/configuration';
import { type RegistryEffect, replyText } from './event.js';
import { primaryHolder } from './queries.js';
import type { PendingCommand, RegistryState } from './state.js';

type RegistryTransition = Transition<RegistryState, RegistryEffect>;

/** The view of the store that names the description in force. */
export const configurationView = 'description';
/** How long a read may take in all once the primary has named the offer. */
const readTimeoutMs = 20_000;
const maxChunksPerRequest = 64;

/** What the store answers to the view, besides members that are passed on as they are. */
const viewedOffer = v.looseObject({ offer: v.nullable(offerSchema) });

/** A read whose offer is known: which pieces were asked for and have not come yet. */
export interface ConfigurationRead {
  readonly offer: ConfigManifest;
  /** The members of the answer that are passed on with the description. */
  readonly header: object;
  readonly awaited: ReadonlySet<Hash>;
}

/** Whether a call reads the description in pieces. */
export const readsConfiguration = (call: Pick<PendingCommand, 'verb' | 'body'>): boolean =>
  call.verb === 'view' && call.body === configurationView;

/** Joins the description's own text to the other members without parsing it again. */
const replyBody = (header: object, description: string): string =>
  `${JSON.stringify(header).slice(0, -1)},"description":${description}}`;

/** Asks for the next pieces that are missing, or answers the call if there are none. */
const advanceRead = (
  state: RegistryState,
  id: CommandId,
  call: PendingCommand,
  read: Omit<ConfigurationRead, 'awaited'>,
  now: Timestamp,
): RegistryTransition => {
  const texts = read.offer.pieces.flatMap((hash) => state.chunks.get(hash) ?? []);
  if (texts.length === read.offer.pieces.length)
    return transition(
      { ...state, pendingCommands: withoutEntry(state.pendingCommands, id) },
      replyText(call.correlationId, 200, replyBody(read.header, joinChunks(texts))),
    );
  const hashes = read.offer.pieces
    .filter((hash) => !state.chunks.has(hash))
    .slice(0, maxChunksPerRequest);
  const next: PendingCommand = {
    ...call,
    forwardedAt: now,
    configurationRead: { ...read, awaited: new Set(hashes) },
  };
  const store = primaryHolder(state);
  return transition(
    { ...state, pendingCommands: withEntry(state.pendingCommands, id, next) },
    ...(store === undefined
      ? []
      : [send(store.address, { kind: 'piece-request', node: state.member.node, hashes })]),
  );
};

/** The primary named the offer in force: its pieces are collected. */
export const onOfferNamed = (
  state: RegistryState,
  call: PendingCommand,
  word: FrameOf<'called'>,
  now: Timestamp,
): RegistryTransition => {
  const named = v.safeParse(viewedOffer, JSON.parse(word.body));
  if (!named.success) return transition(state);
  const { offer, ...about } = named.output;
  if (offer === null)
    return transition(
      { ...state, pendingCommands: withoutEntry(state.pendingCommands, word.id) },
      replyText(call.correlationId, 200, replyBody({ ...about, hash: null }, 'null')),
    );
  const header = { ...about, generation: offer.generation, hash: offer.hash };
  return advanceRead(state, word.id, { ...call, span: readTimeoutMs }, { offer, header }, now);
};

/** A piece came: the reads that waited for it go on. */
export const advanceReads = (
  state: RegistryState,
  hash: Hash,
  now: Timestamp,
): RegistryTransition => {
  let next = state;
  const effects: RegistryEffect[] = [];
  for (const [id, call] of state.pendingCommands) {
    const { configurationRead } = call;
    if (configurationRead?.awaited.has(hash) !== true) continue;
    const awaited = new Set([...configurationRead.awaited].filter((one) => one !== hash));
    if (awaited.size > 0) {
      const waiting: PendingCommand = {
        ...call,
        forwardedAt: now,
        configurationRead: { ...configurationRead, awaited },
      };
      next = { ...next, pendingCommands: withEntry(next.pendingCommands, id, waiting) };
      continue;
    }
    const done = advanceRead(next, id, call, configurationRead, now);
    next = done.state;
    effects.push(...done.effects);
  }
  return transition(next, ...effects);
};

/** The pieces that reads under way still need: they stay when the description in force changes. */
export const chunksOfReads = (state: RegistryState): readonly Hash[] =>
  [...state.pendingCommands.values()].flatMap((one) => one.configurationRead?.offer.pieces ?? []);
