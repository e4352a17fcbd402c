import {
  type CommandId,
  type Timestamp,
  type NodeId,
  type Transition,
  withoutEntry,
  noSeq,
  withEntry,
  transition,
} from '@switchwheel/types';
import { type FrameOf, send } from '@switchwheel/transport';
import { onAnnouncement } from './departures.js';
import { onOfferNamed, readsConfiguration } from './configuration-read.js';
import { type ExternalRequest, type RegistryEffect, reply, replyText } from './event.js';
import type { PendingCommand, RegistryState } from './state.js';
import { hasMajorityContact, isAlive, onlyPeersHearPrimary, primaryHolder } from './queries.js';

type RegistryTransition = Transition<RegistryState, RegistryEffect>;
const resendIntervalMs = 400;
const maxPendingCommands = 256;
/** How long a call waits for a primary that others hear and this registry does not, or without a majority. */
const contactTimeoutMs = 900;
/** How old a call is that is ended without such contact, though the primary on this machine still has its lease. */
const doubtfulAfterMs = 600;

const startBootstrap = (
  state: RegistryState,
  ref: number,
  call: Extract<ExternalRequest, { verb: 'bootstrap' }>,
  now: Timestamp,
): RegistryTransition => {
  const near = [...state.sessions.values()].filter((one) => isAlive(one, now));
  const stores = near
    .filter(
      (one) =>
        one.member.role === 'store' &&
        (call.stores.length === 0 || call.stores.includes(one.member.node)),
    )
    .map((one) => one.member);
  const seats = [
    state.member,
    ...near.filter((one) => one.member.role === 'registry').map((one) => one.member),
  ].filter((one) => call.voters.length === 0 || call.voters.includes(one.node));
  const lost = [
    ...call.stores.filter((name) => !stores.some((one) => one.node === name)),
    ...call.voters.filter((name) => !seats.some((one) => one.node === name)),
  ];
  if (lost.length > 0)
    return transition(
      state,
      reply(ref, 409, { kind: 'unready', text: `not in touch: ${lost.join(', ')}` }),
    );
  if (stores.length < 1) {
    return transition(
      state,
      reply(ref, 409, {
        kind: 'unready',
        text: 'a fleet is founded on one store at least; in touch: none',
      }),
    );
  }
  if (state.fleet !== undefined)
    return transition(
      state,
      reply(ref, 409, { kind: 'stale', text: `the fleet ${state.fleet} stands already` }),
    );
  const word: FrameOf<'bootstrap'> = {
    kind: 'bootstrap',
    id: call.id,
    fleet: call.fleet,
    stores: stores.map((one) => ({ node: one.node, address: one.address })),
    electorate: {
      serial: noSeq,
      members: seats
        .map((one) => ({ node: one.node, address: one.address }))
        .sort((one, two) => (one.node < two.node ? -1 : 1)),
    },
  };
  const founding = withEntry(state.bootstraps, call.id, {
    correlationId: ref,
    startedAt: now,
    stores: stores.map((one) => one.node),
    voters: word.electorate.members.map((one) => one.node),
    agreedStores: new Set<NodeId>(),
  });
  return transition(
    { ...state, bootstraps: founding },
    ...stores.map((one) => send(one.address, word)),
  );
};

/** A store agreed to a founding, or did not. */
export const onBootstrapped = (
  state: RegistryState,
  word: FrameOf<'bootstrapped'>,
): RegistryTransition => {
  const open = state.bootstraps.get(word.id);
  if (open === undefined) return transition(state);
  const without = { ...state, bootstraps: withoutEntry(state.bootstraps, word.id) };
  if (!word.ok)
    return transition(
      without,
      reply(open.correlationId, 409, { kind: 'stale', text: `${word.node}: ${word.text}` }),
    );
  const agreed = new Set([...open.agreedStores, word.node]);
  if (open.stores.every((one) => agreed.has(one)))
    return transition(
      without,
      reply(open.correlationId, 200, {
        kind: 'bootstrapped',
        stores: open.stores,
        voters: open.voters,
      }),
    );
  return transition({
    ...state,
    bootstraps: withEntry(state.bootstraps, word.id, { ...open, agreedStores: agreed }),
  });
};

const commandFrame = (id: CommandId, one: PendingCommand): FrameOf<'call'> => ({
  kind: 'call',
  id,
  verb: one.verb,
  body: one.body,
  ...(one.base === undefined ? {} : { base: one.base }),
});

/**
 * Whether this registry is cut off from the primary for as long as a call has to know it: it has
 * no contact with the majority, or the primary is silent here while peers hear it. While nobody
 * hears one, a new primary is being elected, and the call waits for it.
 */
const isCutOff = (state: RegistryState, one: PendingCommand, now: Timestamp): boolean => {
  if (!hasMajorityContact(state, now)) return true;
  if (now - one.receivedAt > doubtfulAfterMs && !hasMajorityContact(state, now, contactTimeoutMs))
    return true;
  const primaryHeardAt = Math.max(one.receivedAt, state.feed.asOf ?? -Infinity);
  if (now - primaryHeardAt <= contactTimeoutMs) return false;
  // One that restarted where it is cut off does not even know the electorate.
  if (state.electorate === undefined) return true;
  return !hasMajorityContact(state, now, contactTimeoutMs) || onlyPeersHearPrimary(state);
};

/** All who wait for the answer to a call. */
const correlationIdsOf = (one: PendingCommand): readonly number[] => [
  one.correlationId,
  ...one.duplicates,
];

const notForwarded = (ref: number, id: CommandId): RegistryEffect =>
  reply(ref, 503, {
    kind: 'rejected',
    id,
    text: 'no primary answers now; nothing was changed',
    retryAfterMs: 1000,
  });

const outcomeUnknown = (ref: number, id: CommandId): RegistryEffect =>
  reply(ref, 504, {
    kind: 'unknown',
    id,
    text: 'the outcome is not known; ask again with this id',
  });

/** The same order again while it is under way here waits for the one answer; other content under its id is refused. */
const joinPendingCommand = (
  state: RegistryState,
  ref: number,
  id: CommandId,
  underWay: PendingCommand,
  again: Pick<PendingCommand, 'verb' | 'body'>,
): RegistryTransition => {
  const isSame = underWay.verb === again.verb && underWay.body === again.body;
  const isRead = again.verb === 'ask' || again.verb === 'view';
  if (!isSame || isRead)
    return transition(
      state,
      reply(ref, 409, { kind: 'stale', id, text: 'a call with this id is under way here' }),
    );
  const joined: PendingCommand = { ...underWay, duplicates: [...underWay.duplicates, ref] };
  return transition({ ...state, pendingCommands: withEntry(state.pendingCommands, id, joined) });
};

/** Sends waiting calls on to the primary, and ends those whose time is over. */
export const tickPendingCommands = (state: RegistryState, now: Timestamp): RegistryTransition => {
  let pending = state.pendingCommands;
  const effects: RegistryEffect[] = [];
  // Who holds the duty may be old news: a call leaves once the primary was heard in this life.
  const store = state.feed.asOf === undefined ? undefined : primaryHolder(state);
  for (const [id, one] of state.pendingCommands) {
    if (now - one.receivedAt > one.span || isCutOff(state, one, now)) {
      pending = withoutEntry(pending, id);
      // A call that never left this registry certainly did not run.
      const unrun = one.forwardedAt === undefined || one.verb === 'ask' || one.verb === 'view';
      const answers = correlationIdsOf(one).map((ref) =>
        unrun ? notForwarded(ref, id) : outcomeUnknown(ref, id),
      );
      effects.push(...answers);
    } else if (store !== undefined && now - (one.forwardedAt ?? -Infinity) > resendIntervalMs) {
      pending = withEntry(pending, id, { ...one, forwardedAt: now });
      effects.push(send(store.address, commandFrame(id, one)));
    }
  }
  let founding = state.bootstraps;
  for (const [id, one] of state.bootstraps) {
    if (now - one.startedAt < 3000) continue;
    founding = withoutEntry(founding, id);
    effects.push(
      reply(one.correlationId, 504, {
        kind: 'unknown',
        id,
        text: 'not every store agreed in time; found again with the same names',
      }),
    );
  }
  return transition(
    pending === state.pendingCommands && founding === state.bootstraps
      ? state
      : { ...state, pendingCommands: pending, bootstraps: founding },
    ...effects,
  );
};

const forwardToPrimary = (
  state: RegistryState,
  ref: number,
  id: CommandId,
  row: Pick<PendingCommand, 'verb' | 'body' | 'span'> &
    Partial<Pick<PendingCommand, 'base' | 'pieces'>>,
  now: Timestamp,
): RegistryTransition => {
  if (state.isStopping)
    return transition(
      state,
      reply(ref, 503, { kind: 'rejected', id, text: 'this registry is stopping', retryAfterMs: 0 }),
    );
  if (!hasMajorityContact(state, now))
    return transition(
      state,
      reply(ref, 503, {
        kind: 'unready',
        id,
        text: 'this registry is not in touch with the majority; call another',
        retryAfterMs: 0,
      }),
    );
  if (state.pendingCommands.size >= maxPendingCommands)
    return transition(
      state,
      reply(ref, 503, { kind: 'rejected', id, text: 'too many calls wait', retryAfterMs: 1000 }),
    );
  const underWay = state.pendingCommands.get(id);
  if (underWay !== undefined) return joinPendingCommand(state, ref, id, underWay, row);
  const one: PendingCommand = {
    correlationId: ref,
    duplicates: [],
    receivedAt: now,
    forwardedAt: undefined,
    base: undefined,
    pieces: new Map(),
    ...row,
  };
  return tickPendingCommands(
    { ...state, pendingCommands: withEntry(state.pendingCommands, id, one) },
    now,
  );
};

export const onExternalRequest = (
  state: RegistryState,
  ref: number,
  call: ExternalRequest,
  now: Timestamp,
): RegistryTransition => {
  switch (call.verb) {
    case 'announce':
      return onAnnouncement(state, ref, call.origin, now);
    case 'bootstrap':
      return startBootstrap(state, ref, call, now);
    case 'apply':
      return forwardToPrimary(
        state,
        ref,
        call.id,
        {
          verb: 'apply',
          body: JSON.stringify({
            hash: call.hash,
            order: call.chunkHashes,
            number: call.requestedGeneration,
          }),
          base: call.baseGeneration,
          pieces: call.chunks,
          span: 8000,
        },
        now,
      );
    case 'purge':
      return forwardToPrimary(
        state,
        ref,
        call.id,
        { verb: 'purge', body: JSON.stringify(call.aims), span: 4000 },
        now,
      );
    case 'release': {
      const { service, target, spanMs } = call;
      return forwardToPrimary(
        state,
        ref,
        call.id,
        { verb: 'release', body: JSON.stringify({ service, target, spanMs }), span: 4000 },
        now,
      );
    }
    case 'outcome':
      return forwardToPrimary(
        state,
        ref,
        call.id,
        { verb: 'ask', body: call.commandId, span: 2500 },
        now,
      );
    case 'view':
      return forwardToPrimary(
        state,
        ref,
        call.id,
        { verb: 'view', body: call.what, span: 2500 },
        now,
      );
    case 'electorate':
      return changeElectorate(state, ref, call, now);
    case 'fleet':
      return transition(state, reply(ref, 200, fleetView(state, now)));
  }
};

const changeElectorate = (
  state: RegistryState,
  ref: number,
  call: Extract<ExternalRequest, { verb: 'electorate' }>,
  now: Timestamp,
): RegistryTransition => {
  const set = state.electorate;
  if (set === undefined)
    return transition(state, reply(ref, 409, { kind: 'unready', text: 'no fleet stands yet' }));
  if ((call.add === undefined) === (call.remove === undefined))
    return transition(
      state,
      reply(ref, 422, { kind: 'invalid', text: 'one voter is added or removed at a time' }),
    );
  const seat =
    call.add === undefined
      ? undefined
      : call.add === state.member.node
        ? state.member
        : state.sessions.get(call.add)?.member;
  if (call.add !== undefined && (seat === undefined || seat.role !== 'registry')) {
    return transition(
      state,
      reply(ref, 409, { kind: 'unready', text: `no registry named ${call.add} is in touch` }),
    );
  }
  const body = JSON.stringify({
    ...(seat === undefined ? {} : { add: { node: seat.node, address: seat.address } }),
    ...(call.remove === undefined ? {} : { remove: call.remove }),
  });
  return forwardToPrimary(state, ref, call.id, { verb: 'electorate', body, span: 4000 }, now);
};

/** The store answered a call. */
export const onCommandResult = (
  state: RegistryState,
  word: FrameOf<'called'>,
  now: Timestamp,
): RegistryTransition => {
  const open = state.pendingCommands.get(word.id);
  if (open === undefined) return transition(state);
  if (word.status === 200 && readsConfiguration(open)) return onOfferNamed(state, open, word, now);
  return transition(
    { ...state, pendingCommands: withoutEntry(state.pendingCommands, word.id) },
    ...correlationIdsOf(open).map((ref) => replyText(ref, word.status, word.body)),
  );
};

/** The store lacks pieces of a description: one that came in here, or the one in force. */
export const onStoreChunkRequest = (
  state: RegistryState,
  word: FrameOf<'piece-request'>,
  to: Parameters<typeof send>[0],
): RegistryTransition => {
  const effects: RegistryEffect[] = [];
  const sources = [...[...state.pendingCommands.values()].map((one) => one.pieces), state.chunks];
  for (const hash of word.hashes) {
    const data = sources.find((one) => one.has(hash))?.get(hash);
    if (data !== undefined) effects.push(send(to, { kind: 'piece', hash, data }));
  }
  return transition(state, ...effects);
};

/** What this registry knows of the fleet by itself. */
export const fleetView = (state: RegistryState, now: Timestamp): object => ({
  registry: state.member.node,
  fleet: state.fleet ?? null,
  inTouch: hasMajorityContact(state, now),
  feedAgeMs: state.feed.asOf === undefined ? null : Math.round(now - state.feed.asOf),
  epoch: state.feed.epoch,
  generation: state.feed.current?.generation ?? 0,
  purges: { top: state.feed.latestPurge, floor: state.feed.oldestPurge },
  electorate: state.electorate ?? null,
  voter: {
    recovering: state.voter.isRecovering,
    grants: [...state.voter.grants].map(([duty, one]) => ({
      duty,
      epoch: one.epoch,
      node: one.node,
      inSyncSet: one.inSyncSet,
      leftMs: Math.round(one.leaseEndsAt - now),
    })),
  },
  nodes: [
    {
      node: state.member.node,
      role: state.member.role,
      area: state.member.area,
      address: state.member.address,
      admin: state.member.admin ?? null,
      registry: state.member.node,
      open: true,
      ageMs: 0,
      incarnation: state.member.incarnation,
    },
    ...[...state.sessions.values()].map((one) => ({
      node: one.member.node,
      role: one.member.role,
      area: one.member.area,
      address: one.member.address,
      door: one.member.door ?? null,
      admin: one.member.admin ?? null,
      registry: one.registry,
      open: isAlive(one, now),
      ageMs: Math.round(now - one.lastHeardAt),
      incarnation: one.member.incarnation,
      generation: one.report.generation,
      hash: one.report.hash ?? null,
      phase: one.report.phase,
      ready: one.report.ready,
      failed: one.report.failed ?? null,
      health: one.report.health,
    })),
  ],
  desired: [...state.feed.desired].map(([node, one]) => ({ node, ...one })),
  holders: [...state.holders.values()],
  origins: [...state.origins.values()].map(({ lastHeardAt, ...one }) => ({
    ...one,
    ageMs: Math.round(now - lastHeardAt),
  })),
  verdicts: state.feed.canaryResults,
});
