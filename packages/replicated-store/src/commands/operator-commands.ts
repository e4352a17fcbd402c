import * as v from 'valibot';
import {
  type CommandId,
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
import {
  type Peer,
  type Electorate,
  type FrameOf,
  purgeTarget,
  log,
  send,
} from '@switchwheel/transport';
import { configurationHash, contentHash } from '@switchwheel/configuration';
import { isPrimary } from '../leadership/candidacy.js';
import { sendReply, enqueue } from './queue.js';
import { holdChunks, missingChunks, storeChunksCommands, releaseChunks } from './chunks.js';
import { storeLackingChunk } from './chunk-repair.js';
import type { StoreEffect } from '../state/events.js';
import { type Command, type StoreState, ownId } from '../state/state.js';
import { viewState, viewRelease } from './views.js';

type StoreTransition = Transition<StoreState, StoreEffect>;
type ApplyCommand = Extract<Command, { kind: 'apply' }>;
const chunksTimeoutMs = 6000;
const chunkRequestIntervalMs = 300;
const maxChunksPerRequest = 64;

const applyBody = v.object({
  hash: hashSchema,
  order: v.array(hashSchema),
  number: v.optional(generationSchema),
});
const purgeBody = v.pipe(v.array(purgeTarget), v.minLength(1), v.maxLength(10_000));
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
const compile = (state: StoreState, command: ApplyCommand): StoreTransition => {
  const others = state.compiling.get(command.hash) ?? [];
  const next = {
    ...state,
    compiling: withEntry(state.compiling, command.hash, [...others, command]),
  };
  if (others.length > 0) return transition(next);
  const texts = command.order.map((one) => state.heldChunks.get(one) ?? '');
  return transition(next, { kind: 'compileConfiguration', hash: command.hash, texts });
};

type AwaitingChunks = NonNullable<ReturnType<StoreState['awaitingChunks']['get']>>;

/** Asks for some of the pieces that lack: the next ones when these are here. */
const requestChunks = (
  state: StoreState,
  one: Pick<AwaitingChunks, 'command' | 'since'>,
  missing: readonly Hash[],
  now: Timestamp,
): StoreTransition => {
  const hashes = missing.slice(0, maxChunksPerRequest);
  const lacking = withEntry(state.awaitingChunks, one.command.asker.id, {
    ...one,
    asked: now,
    awaited: hashes.length,
  });
  return transition(
    { ...state, awaitingChunks: lacking },
    send(one.command.asker.to, { kind: 'piece-request', node: ownId(state), hashes: [...hashes] }),
  );
};

/** Whether this very order is on its way already. */
const isUnderWay = (state: StoreState, { asker }: ApplyCommand): boolean =>
  state.awaitingChunks.has(asker.id) ||
  [...state.compiling.values()].flat().some((one) => one.asker.id === asker.id) ||
  state.commandQueue.some((one) => one.kind === 'apply' && one.asker.id === asker.id) ||
  (state.primaryWrite?.replies.some((one) => one.id === asker.id) ?? false);

const onApply = (before: StoreState, command: ApplyCommand, now: Timestamp): StoreTransition => {
  if (isUnderWay(before, command)) return transition(before);
  const state = holdChunks(before, command.order);
  const missing = missingChunks(state, command.order);
  if (missing.length === 0) return compile(state, command);
  return requestChunks(state, { command, since: now }, missing, now);
};

const changedElectorate = (
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

export const onOperatorCommand = (
  state: StoreState,
  from: Peer,
  call: FrameOf<'call'>,
  now: Timestamp,
): StoreTransition => {
  // A store without the duty stays silent: the registry asks the holder as soon as it knows it.
  if (!isPrimary(state, now)) return transition(state);
  const asker = { to: from.address, id: call.id };
  const bad = (text: string): StoreTransition =>
    transition(
      state,
      sendReply({
        ...asker,
        status: 422,
        body: JSON.stringify({ kind: 'invalid', id: call.id, text }),
      }),
    );
  const before = state.control.commandOutcomes.get(call.id);
  if (before !== undefined)
    return transition(state, sendReply({ ...asker, status: before.status, body: before.body }));
  if (state.isReadOnly && call.verb !== 'ask' && call.verb !== 'view') {
    return transition(
      state,
      sendReply({
        ...asker,
        status: 503,
        body: JSON.stringify({
          kind: 'rejected',
          id: call.id,
          text: 'the disk is full: nothing can be written',
          retryAfterMs: 2000,
        }),
      }),
    );
  }
  switch (call.verb) {
    case 'apply': {
      const body = parse(applyBody, call.body);
      if (body === undefined || configurationHash(body.order) !== body.hash)
        return bad('not a description in pieces');
      return onApply(
        state,
        {
          kind: 'apply',
          asker,
          hash: body.hash,
          order: body.order,
          base: call.base,
          number: body.number,
          faults: [],
        },
        now,
      );
    }
    case 'purge': {
      const aims = parse(purgeBody, call.body);
      if (aims === undefined) return bad('a purge names 1 to 10000 objects or tags');
      return enqueueOnce(state, { kind: 'purge', asker, aims });
    }
    case 'electorate': {
      const body = parse(electorateBody, call.body);
      const next =
        body === undefined || state.metadata === undefined
          ? undefined
          : changedElectorate(state.metadata.electorate, body);
      if (next === undefined) return bad('that would not change the electorate by one');
      return enqueueOnce(state, { kind: 'electorate', asker, electorate: next });
    }
    case 'release': {
      const body = parse(releaseBody, call.body);
      if (body === undefined)
        return bad('an order names a service, a release, and a span of 1 s to a day');
      return enqueueOnce(state, { kind: 'order', asker, ...body });
    }
    case 'ask':
      return transition(state, sendReply({ ...asker, ...outcomeReply(state, call.body) }));
    case 'view':
      return transition(state, sendReply({ ...asker, ...viewReply(state, call.body, now) }));
  }
};

const enqueueOnce = (
  state: StoreState,
  command: Extract<Command, { kind: 'purge' | 'electorate' | 'order' }>,
): StoreTransition => {
  const open =
    state.commandQueue.some((one) => 'asker' in one && one.asker.id === command.asker.id) ||
    (state.primaryWrite?.replies.some((one) => one.id === command.asker.id) ?? false);
  return open ? transition(state) : enqueue(state, command);
};

const viewReply = (
  state: StoreState,
  what: string,
  now: Timestamp,
): { readonly status: number; readonly body: string } => {
  if (!what.startsWith('release/'))
    return { status: 200, body: JSON.stringify(viewState(state, what, now)) };
  const found = viewRelease(state, what.slice('release/'.length), now);
  return found === undefined
    ? {
        status: 404,
        body: JSON.stringify({ kind: 'absent', text: 'no order of a release for this service' }),
      }
    : { status: 200, body: JSON.stringify(found) };
};

const outcomeReply = (
  state: StoreState,
  id: string,
): { readonly status: number; readonly body: string } => {
  const found = [...state.control.commandOutcomes].find(([one]) => one === id);
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
const advanceApply = (
  state: StoreState,
  id: CommandId,
  one: AwaitingChunks,
  now: Timestamp,
): StoreTransition => {
  const missing = missingChunks(state, one.command.order);
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
    if (!one.command.order.includes(chunk.hash)) continue;
    if (one.awaited > 1) {
      const row = { ...one, awaited: one.awaited - 1, asked: now };
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
          { ...next.state, awaitingChunks: withoutEntry(next.state.awaitingChunks, id) },
          told,
        ),
      );
    } else if (now - one.asked > chunkRequestIntervalMs) {
      next = prependEffects(next.effects, advanceApply(next.state, id, one, now));
    }
  }
  return next;
};

/** Tells of pieces that were asked for and that the table does not hold. */
const logMissedChunks = (
  state: StoreState,
  from: Peer,
  hashes: readonly Hash[],
): readonly StoreEffect[] =>
  hashes.map((hash) =>
    log(
      'warn',
      'asked for a piece that the table does not hold',
      ['piece', hash],
      ['from', from.node],
      ['inForce', state.control.configuration?.offer.pieces.includes(hash) === true ? 'yes' : 'no'],
    ),
  );

/** A registry lacks pieces of the description in force. */
export const onChunkRequest = (
  state: StoreState,
  from: Peer,
  request: FrameOf<'piece-request'>,
): StoreTransition => {
  const sent = request.hashes.flatMap((hash): readonly StoreEffect[] => {
    const data = state.control.chunks.get(hash);
    return data === undefined ? [] : [send(from.address, { kind: 'piece', hash, data })];
  });
  const missed = request.hashes.filter((hash) => !state.control.chunks.has(hash));
  if (missed.length === 0) return transition(state, ...sent);
  return transition(
    { ...state, missedChunkRequests: state.missedChunkRequests + missed.length },
    ...sent,
    ...logMissedChunks(state, from, missed),
  );
};
