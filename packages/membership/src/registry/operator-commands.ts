/**
 * Commands and reads that only the store's primary can answer: each is forwarded until an answer
 * comes, and ended when its time is over or this registry is cut off from the primary. A command
 * that never left certainly did not run; of one that left, the outcome may be unknown.
 */

import {
  type CommandId,
  type Timestamp,
  prependEffects,
  transition,
  withEntry,
  withoutEntry,
} from '@switchwheel/types';
import { type FrameOf, send } from '@switchwheel/transport';
import { expireBootstraps } from './cluster-bootstrap.js';
import { onOfferNamed, readsConfiguration } from './configuration-read.js';
import { type RegistryEffect, reply, replyText } from './event.js';
import { hasMajorityContact, onlyPeersHearPrimary, primaryHolder } from './queries.js';
import type { PendingCommand, RegistryState, RegistryTransition } from './state.js';

const resendIntervalMs = 400;
const maxPendingCommands = 256;
/** How long a command waits for a primary that peers hear and this registry does not, or for a majority. */
const contactTimeoutMs = 900;
/** Above this age a command needs fresher contact, though a primary on this machine may still have its lease. */
const doubtfulAfterMs = 600;

/** A command or read for the primary, as an external request makes it. */
export interface ForwardedCommand
  extends
    Pick<PendingCommand, 'verb' | 'body' | 'timeoutMs'>,
    Partial<Pick<PendingCommand, 'baseGeneration' | 'chunks'>> {
  readonly id: CommandId;
  /** Where the answer goes. */
  readonly correlationId: number;
}

const commandFrame = (id: CommandId, command: PendingCommand): FrameOf<'call'> => ({
  kind: 'call',
  id,
  verb: command.verb,
  body: command.body,
  ...(command.baseGeneration === undefined ? {} : { base: command.baseGeneration }),
});

const isRead = ({ verb }: Pick<PendingCommand, 'verb'>): boolean =>
  verb === 'ask' || verb === 'view';

/**
 * Whether this registry is cut off from the primary for as long as a command has to know it: it has
 * no contact with the majority, or the primary is silent here while peers hear it. While nobody
 * hears one, a new primary is being elected, and the command waits for it.
 */
const isCutOff = (state: RegistryState, command: PendingCommand, now: Timestamp): boolean => {
  if (!hasMajorityContact(state, now)) return true;
  const isDoubtful = now - command.receivedAt > doubtfulAfterMs;
  if (isDoubtful && !hasMajorityContact(state, now, contactTimeoutMs)) return true;
  const primaryHeardAt = Math.max(command.receivedAt, state.feed.asOf ?? -Infinity);
  if (now - primaryHeardAt <= contactTimeoutMs) return false;
  // A registry that restarted while it is cut off does not even know the electorate.
  if (state.electorate === undefined) return true;
  return !hasMajorityContact(state, now, contactTimeoutMs) || onlyPeersHearPrimary(state);
};

/** All who wait for the answer to a command. */
const correlationIdsOf = (command: PendingCommand): readonly number[] => [
  command.correlationId,
  ...command.duplicates,
];

const notForwarded = (correlationId: number, id: CommandId): RegistryEffect =>
  reply(correlationId, 503, {
    kind: 'rejected',
    id,
    text: 'no primary answers now; nothing was changed',
    retryAfterMs: 1000,
  });

const outcomeUnknown = (correlationId: number, id: CommandId): RegistryEffect =>
  reply(correlationId, 504, {
    kind: 'unknown',
    id,
    text: 'the outcome is not known; ask again with this id',
  });

const endWithoutAnswer = (id: CommandId, command: PendingCommand): readonly RegistryEffect[] => {
  const didNotRun = command.forwardedAt === undefined || isRead(command);
  const answer = didNotRun ? notForwarded : outcomeUnknown;
  return correlationIdsOf(command).map((correlationId) => answer(correlationId, id));
};

/** Forwards what waits to the primary, and ends what took too long. */
const tickCommands = (state: RegistryState, now: Timestamp): RegistryTransition => {
  let pendingCommands = state.pendingCommands;
  const effects: RegistryEffect[] = [];
  // The known holder may be outdated: commands leave once this incarnation has heard a primary.
  const primary = state.feed.asOf === undefined ? undefined : primaryHolder(state);
  for (const [id, command] of state.pendingCommands) {
    if (now - command.receivedAt > command.timeoutMs || isCutOff(state, command, now)) {
      pendingCommands = withoutEntry(pendingCommands, id);
      effects.push(...endWithoutAnswer(id, command));
      continue;
    }
    const isDue = now - (command.forwardedAt ?? -Infinity) > resendIntervalMs;
    if (primary === undefined || !isDue) continue;
    pendingCommands = withEntry(pendingCommands, id, { ...command, forwardedAt: now });
    effects.push(send(primary.address, commandFrame(id, command)));
  }
  return transition(
    pendingCommands === state.pendingCommands ? state : { ...state, pendingCommands },
    ...effects,
  );
};

/** Lets time pass for all requests that wait for a store: commands, then bootstraps. */
export const tickPendingCommands = (state: RegistryState, now: Timestamp): RegistryTransition => {
  const done = tickCommands(state, now);
  return prependEffects(done.effects, expireBootstraps(done.state, now));
};

/** A repeated command waits for the one answer; a read, or other content under the same id, is refused. */
const joinPendingCommand = (
  state: RegistryState,
  pending: PendingCommand,
  { id, correlationId, verb, body }: ForwardedCommand,
): RegistryTransition => {
  const isSame = pending.verb === verb && pending.body === body;
  if (!isSame || isRead({ verb }))
    return transition(
      state,
      reply(correlationId, 409, {
        kind: 'stale',
        id,
        text: 'a call with this id is under way here',
      }),
    );
  const duplicates = [...pending.duplicates, correlationId];
  return transition({
    ...state,
    pendingCommands: withEntry(state.pendingCommands, id, { ...pending, duplicates }),
  });
};

/** Why nothing is forwarded at all now; undefined if commands are taken. */
const forwardRefusal = (
  state: RegistryState,
  id: CommandId,
  now: Timestamp,
): object | undefined => {
  if (state.isStopping)
    return { kind: 'rejected', id, text: 'this registry is stopping', retryAfterMs: 0 };
  if (!hasMajorityContact(state, now))
    return {
      kind: 'unready',
      id,
      text: 'this registry is not in touch with the majority; call another',
      retryAfterMs: 0,
    };
  if (state.pendingCommands.size >= maxPendingCommands)
    return { kind: 'rejected', id, text: 'too many calls wait', retryAfterMs: 1000 };
  return undefined;
};

/** Takes a command or read in and forwards it at once if a primary is known. */
export const forwardToPrimary = (
  state: RegistryState,
  command: ForwardedCommand,
  now: Timestamp,
): RegistryTransition => {
  const { id, correlationId, ...content } = command;
  const refusal = forwardRefusal(state, id, now);
  if (refusal !== undefined) return transition(state, reply(correlationId, 503, refusal));
  const pending = state.pendingCommands.get(id);
  if (pending !== undefined) return joinPendingCommand(state, pending, command);
  const added: PendingCommand = {
    correlationId,
    duplicates: [],
    receivedAt: now,
    forwardedAt: undefined,
    baseGeneration: undefined,
    chunks: new Map(),
    ...content,
  };
  const next = { ...state, pendingCommands: withEntry(state.pendingCommands, id, added) };
  return tickPendingCommands(next, now);
};

/** The primary answered a command: all who wait for it hear so, unless its read goes on. */
export const onCommandResult = (
  state: RegistryState,
  result: FrameOf<'called'>,
  now: Timestamp,
): RegistryTransition => {
  const command = state.pendingCommands.get(result.id);
  if (command === undefined) return transition(state);
  if (result.status === 200 && readsConfiguration(command))
    return onOfferNamed(state, command, result, now);
  return transition(
    { ...state, pendingCommands: withoutEntry(state.pendingCommands, result.id) },
    ...correlationIdsOf(command).map((correlationId) =>
      replyText(correlationId, result.status, result.body),
    ),
  );
};
