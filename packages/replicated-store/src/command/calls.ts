import * as v from 'valibot';
import {
  type CallId,
  type Hash,
  type Timestamp,
  type Transition,
  withoutEntry,
  generation as generationSchema,
  hash as hashSchema,
  prependEffects,
  nextSeq,
  nodeId,
  address,
  withEntry,
  release,
  serviceName,
  transition,
} from '@switchwheel/types';
import { type Peer, type Electorate, type FrameOf, aim, log, send } from '@switchwheel/transport';
import { bundleHash, hashOf } from '@switchwheel/configuration';
import { isPrimary } from '../leadership/candidacy.js';
import { callReply, enqueue } from './queue.js';
import { holdPieces, missingPieces, piecesCommands, releasePieces } from './pieces.js';
import { storeLackingPiece } from './repair.js';
import type { StoreEffect } from '../state/event.js';
import { type Command, type Store, ownId } from '../state/state.js';
import { view, viewRelease } from './view.js';

type Done = Transition<Store, StoreEffect>;
type ApplyCommand = Extract<Command, { kind: 'apply' }>;
const piecesTimeout = 6000;
const askPiecesInterval = 300;
const maxPiecesPerRequest = 64;

const applyBody = v.object({
  hash: hashSchema,
  order: v.array(hashSchema),
  number: v.optional(generationSchema),
});
const aimsBody = v.pipe(v.array(aim), v.minLength(1), v.maxLength(10_000));
const electorateBody = v.object({
  add: v.optional(v.object({ node: nodeId, address })),
  remove: v.optional(nodeId),
});

const releaseBody = v.object({
  service: serviceName,
  target: release,
  spanMs: v.pipe(v.number(), v.minValue(1000), v.maxValue(86_400_000)),
});

const parse = <T>(schema: v.GenericSchema<unknown, T>, text: string): T | undefined => {
  try {
    const read = v.safeParse(schema, JSON.parse(text));
    return read.success ? read.output : undefined;
  } catch {
    return undefined;
  }
};

/** Has the description compiled with the nodes' own code once all its pieces are here. */
const compile = (state: Store, command: ApplyCommand): Done => {
  const others = state.compiling.get(command.hash) ?? [];
  const next = {
    ...state,
    compiling: withEntry(state.compiling, command.hash, [...others, command]),
  };
  if (others.length > 0) return transition(next);
  const texts = command.order.map((one) => state.heldPieces.get(one) ?? '');
  return transition(next, { kind: 'compile', hash: command.hash, texts });
};

type Lacking = NonNullable<ReturnType<Store['awaitingPieces']['get']>>;

/** Asks for some of the pieces that lack: the next ones when these are here. */
const askPieces = (
  state: Store,
  one: Pick<Lacking, 'command' | 'since'>,
  missing: readonly Hash[],
  now: Timestamp,
): Done => {
  const hashes = missing.slice(0, maxPiecesPerRequest);
  const lacking = withEntry(state.awaitingPieces, one.command.asker.id, {
    ...one,
    asked: now,
    awaited: hashes.length,
  });
  return transition(
    { ...state, awaitingPieces: lacking },
    send(one.command.asker.to, { kind: 'piece-request', node: ownId(state), hashes: [...hashes] }),
  );
};

/** Whether this very order is on its way already. */
const isUnderWay = (state: Store, { asker }: ApplyCommand): boolean =>
  state.awaitingPieces.has(asker.id) ||
  [...state.compiling.values()].flat().some((one) => one.asker.id === asker.id) ||
  state.commandQueue.some((one) => one.kind === 'apply' && one.asker.id === asker.id) ||
  (state.primaryWrite?.results.some((one) => one.id === asker.id) ?? false);

const onApply = (before: Store, command: ApplyCommand, now: Timestamp): Done => {
  if (isUnderWay(before, command)) return transition(before);
  const state = holdPieces(before, command.order);
  const missing = missingPieces(state, command.order);
  if (missing.length === 0) return compile(state, command);
  return askPieces(state, { command, since: now }, missing, now);
};

const changed = (
  old: Electorate,
  body: v.InferOutput<typeof electorateBody>,
): Electorate | undefined => {
  const without = old.members.filter(
    (one) => one.node !== body.remove && one.node !== body.add?.node,
  );
  const members = body.add === undefined ? without : [...without, body.add];
  const delta = members.length - old.members.length;
  const moved = body.add !== undefined && delta === 0;
  if (members.length === 0 || (delta === 0 && !moved)) return undefined;
  return { serial: nextSeq(old.serial), members };
};

export const onCall = (state: Store, from: Peer, word: FrameOf<'call'>, now: Timestamp): Done => {
  // A store without the duty stays silent: the registry asks the holder as soon as it knows it.
  if (!isPrimary(state, now)) return transition(state);
  const asker = { to: from.address, id: word.id };
  const bad = (text: string): Done =>
    transition(
      state,
      callReply({
        ...asker,
        status: 422,
        body: JSON.stringify({ kind: 'invalid', id: word.id, text }),
      }),
    );
  const before = state.control.calls.get(word.id);
  if (before !== undefined)
    return transition(state, callReply({ ...asker, status: before.status, body: before.body }));
  if (state.readOnly && word.verb !== 'ask' && word.verb !== 'view') {
    return transition(
      state,
      callReply({
        ...asker,
        status: 503,
        body: JSON.stringify({
          kind: 'rejected',
          id: word.id,
          text: 'the disk is full: nothing can be written',
          retryAfterMs: 2000,
        }),
      }),
    );
  }
  switch (word.verb) {
    case 'apply': {
      const body = parse(applyBody, word.body);
      if (body === undefined || bundleHash(body.order) !== body.hash)
        return bad('not a description in pieces');
      return onApply(
        state,
        {
          kind: 'apply',
          asker,
          hash: body.hash,
          order: body.order,
          base: word.base,
          number: body.number,
          faults: [],
        },
        now,
      );
    }
    case 'purge': {
      const aims = parse(aimsBody, word.body);
      if (aims === undefined) return bad('a purge names 1 to 10000 objects or tags');
      return enqueueOnce(state, { kind: 'purge', asker, aims });
    }
    case 'electorate': {
      const body = parse(electorateBody, word.body);
      const next =
        body === undefined || state.metadata === undefined
          ? undefined
          : changed(state.metadata.electorate, body);
      if (next === undefined) return bad('that would not change the electorate by one');
      return enqueueOnce(state, { kind: 'electorate', asker, electorate: next });
    }
    case 'release': {
      const body = parse(releaseBody, word.body);
      if (body === undefined)
        return bad('an order names a service, a release, and a span of 1 s to a day');
      return enqueueOnce(state, { kind: 'order', asker, ...body });
    }
    case 'ask':
      return transition(state, callReply({ ...asker, ...outcomeReply(state, word.body) }));
    case 'view':
      return transition(state, callReply({ ...asker, ...viewReply(state, word.body, now) }));
  }
};

const enqueueOnce = (
  state: Store,
  command: Extract<Command, { kind: 'purge' | 'electorate' | 'order' }>,
): Done => {
  const open =
    state.commandQueue.some((one) => 'asker' in one && one.asker.id === command.asker.id) ||
    (state.primaryWrite?.results.some((one) => one.id === command.asker.id) ?? false);
  return open ? transition(state) : enqueue(state, command);
};

const viewReply = (
  state: Store,
  what: string,
  now: Timestamp,
): { readonly status: number; readonly body: string } => {
  if (!what.startsWith('release/'))
    return { status: 200, body: JSON.stringify(view(state, what, now)) };
  const found = viewRelease(state, what.slice('release/'.length), now);
  return found === undefined
    ? {
        status: 404,
        body: JSON.stringify({ kind: 'absent', text: 'no order of a release for this service' }),
      }
    : { status: 200, body: JSON.stringify(found) };
};

const outcomeReply = (
  state: Store,
  id: string,
): { readonly status: number; readonly body: string } => {
  const found = [...state.control.calls].find(([one]) => one === id);
  if (found !== undefined) return { status: found[1].status, body: found[1].body };
  return {
    status: 404,
    body: JSON.stringify({
      kind: 'absent',
      text: `no write with the id ${id} took effect; sending it again with this id is safe`,
    }),
  };
};

/** Goes on with an order that waits for pieces, once those that it asked for last are here. */
const advanceOrder = (state: Store, id: CallId, one: Lacking, now: Timestamp): Done => {
  const missing = missingPieces(state, one.command.order);
  if (missing.length > 0) return askPieces(state, one, missing, now);
  return compile({ ...state, awaitingPieces: withoutEntry(state.awaitingPieces, id) }, one.command);
};

/** A piece of a description came in. */
export const onPiece = (state: Store, word: FrameOf<'piece'>, now: Timestamp): Done => {
  if (state.heldPieces.has(word.hash) || hashOf(word.data) !== word.hash) return transition(state);
  const held = { ...state, heldPieces: withEntry(state.heldPieces, word.hash, word.data) };
  let next = storeLackingPiece(held, word.hash);
  for (const [id, one] of state.awaitingPieces) {
    if (!one.command.order.includes(word.hash)) continue;
    if (one.awaited > 1) {
      const row = { ...one, awaited: one.awaited - 1, asked: now };
      next = transition(
        { ...next.state, awaitingPieces: withEntry(next.state.awaitingPieces, id, row) },
        ...next.effects,
      );
    } else next = prependEffects(next.effects, advanceOrder(next.state, id, one, now));
  }
  return next;
};

/** Queues a description, and before it the writes that store the pieces of a large one. */
const enqueueApply = (state: Store, command: ApplyCommand): Done => {
  const ahead = command.faults.length > 0 ? [] : piecesCommands(state, command);
  let next: Done = transition(state);
  for (const one of [...ahead, command])
    next = prependEffects(next.effects, enqueue(next.state, one));
  return next;
};

/** The compile of a description ended. */
export const onCompiled = (state: Store, hash: Hash, faults: ApplyCommand['faults']): Done => {
  let next: Done = transition({ ...state, compiling: withoutEntry(state.compiling, hash) });
  for (const command of state.compiling.get(hash) ?? [])
    next = prependEffects(next.effects, enqueueApply(next.state, { ...command, faults }));
  return next;
};

/** Lets time pass over calls that lack pieces. */
export const tickCalls = (before: Store, now: Timestamp): Done => {
  const state = releasePieces(before);
  let next: Done = transition(state);
  for (const [id, one] of state.awaitingPieces) {
    if (now - one.since > piecesTimeout) {
      const told = callReply({
        ...one.command.asker,
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
          { ...next.state, awaitingPieces: withoutEntry(next.state.awaitingPieces, id) },
          told,
        ),
      );
    } else if (now - one.asked > askPiecesInterval) {
      next = prependEffects(next.effects, advanceOrder(next.state, id, one, now));
    }
  }
  return next;
};

/** Tells of pieces that were asked for and that the table does not hold. */
const missedPieces = (state: Store, from: Peer, hashes: readonly Hash[]): readonly StoreEffect[] =>
  hashes.map((hash) =>
    log(
      'warn',
      'asked for a piece that the table does not hold',
      ['piece', hash],
      ['from', from.node],
      ['inForce', state.control.stored?.offer.pieces.includes(hash) === true ? 'yes' : 'no'],
    ),
  );

/** A registry lacks pieces of the description in force. */
export const onWant = (state: Store, from: Peer, word: FrameOf<'piece-request'>): Done => {
  const sent = word.hashes.flatMap((hash): readonly StoreEffect[] => {
    const data = state.control.pieces.get(hash);
    return data === undefined ? [] : [send(from.address, { kind: 'piece', hash, data })];
  });
  const missed = word.hashes.filter((hash) => !state.control.pieces.has(hash));
  if (missed.length === 0) return transition(state, ...sent);
  return transition(
    { ...state, missedPieceRequests: state.missedPieceRequests + missed.length },
    ...sent,
    ...missedPieces(state, from, missed),
  );
};
