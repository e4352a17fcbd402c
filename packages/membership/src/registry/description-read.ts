/**
 * Reading the description back. The primary names the offer in force, which makes the read
 * linearizable; its pieces are immutable and named by their hashes, so they come from this
 * registry's cache or, a bounded batch of frames at a time, from the store.
 */
import * as v from 'valibot';
import {
  type CallId,
  type Hash,
  type Timestamp,
  type Transition,
  withoutEntry,
  withEntry,
  transition,
} from '@switchwheel/types';
import { type FrameOf, type Offer, offer as offerSchema, send } from '@switchwheel/transport';
import { wholeText } from '@switchwheel/configuration';
import { type RegistryEffect, replyText } from './event.js';
import { primaryHolder } from './queries.js';
import type { Pending, Registry } from './state.js';

type Done = Transition<Registry, RegistryEffect>;

/** The view of the store that names the description in force. */
export const descriptionView = 'description';
/** How long a read may take in all once the primary has named the offer. */
const readTimeout = 20_000;
const maxPiecesPerRequest = 64;

/** What the store answers to the view, besides members that are passed on as they are. */
const describedOffer = v.looseObject({ offer: v.nullable(offerSchema) });

/** A read whose offer is known: which pieces were asked for and have not come yet. */
export interface DescriptionRead {
  readonly offer: Offer;
  /** The members of the answer that are passed on with the description. */
  readonly header: object;
  readonly awaited: ReadonlySet<Hash>;
}

/** Whether a call reads the description in pieces. */
export const readsDescription = (call: Pick<Pending, 'verb' | 'body'>): boolean =>
  call.verb === 'view' && call.body === descriptionView;

/** Joins the description's own text to the other members without parsing it again. */
const replyBody = (header: object, description: string): string =>
  `${JSON.stringify(header).slice(0, -1)},"description":${description}}`;

/** Asks for the next pieces that are missing, or answers the call if there are none. */
const advance = (
  state: Registry,
  id: CallId,
  call: Pending,
  read: Omit<DescriptionRead, 'awaited'>,
  now: Timestamp,
): Done => {
  const texts = read.offer.pieces.flatMap((hash) => state.pieces.get(hash) ?? []);
  if (texts.length === read.offer.pieces.length)
    return transition(
      { ...state, pending: withoutEntry(state.pending, id) },
      replyText(call.ref, 200, replyBody(read.header, wholeText(texts))),
    );
  const hashes = read.offer.pieces
    .filter((hash) => !state.pieces.has(hash))
    .slice(0, maxPiecesPerRequest);
  const next: Pending = { ...call, sent: now, read: { ...read, awaited: new Set(hashes) } };
  const store = primaryHolder(state);
  return transition(
    { ...state, pending: withEntry(state.pending, id, next) },
    ...(store === undefined
      ? []
      : [send(store.address, { kind: 'piece-request', node: state.member.node, hashes })]),
  );
};

/** The primary named the offer in force: its pieces are collected. */
export const onOfferNamed = (
  state: Registry,
  call: Pending,
  word: FrameOf<'called'>,
  now: Timestamp,
): Done => {
  const named = v.safeParse(describedOffer, JSON.parse(word.body));
  if (!named.success) return transition(state);
  const { offer, ...about } = named.output;
  if (offer === null)
    return transition(
      { ...state, pending: withoutEntry(state.pending, word.id) },
      replyText(call.ref, 200, replyBody({ ...about, hash: null }, 'null')),
    );
  const header = { ...about, generation: offer.generation, hash: offer.hash };
  return advance(state, word.id, { ...call, span: readTimeout }, { offer, header }, now);
};

/** A piece came: the reads that waited for it go on. */
export const advanceReads = (state: Registry, hash: Hash, now: Timestamp): Done => {
  let next = state;
  const effects: RegistryEffect[] = [];
  for (const [id, call] of state.pending) {
    const { read } = call;
    if (read?.awaited.has(hash) !== true) continue;
    const awaited = new Set([...read.awaited].filter((one) => one !== hash));
    if (awaited.size > 0) {
      const waiting: Pending = { ...call, sent: now, read: { ...read, awaited } };
      next = { ...next, pending: withEntry(next.pending, id, waiting) };
      continue;
    }
    const done = advance(next, id, call, read, now);
    next = done.state;
    effects.push(...done.effects);
  }
  return transition(next, ...effects);
};

/** The pieces that reads under way still need: they stay when the description in force changes. */
export const piecesOfReads = (state: Registry): readonly Hash[] =>
  [...state.pending.values()].flatMap((one) => one.read?.offer.pieces ?? []);
