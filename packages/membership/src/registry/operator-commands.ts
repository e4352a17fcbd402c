/**
 * Commands and reads that only the store's primary can answer: forwards each until the reply arrives,
 * and ends it when it times out or this registry is disconnected from the primary. A command that was
 * never forwarded has not run; the outcome of one that was forwarded may be unknown.
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
import { onManifestReply, readsConfiguration } from './configuration-read.js';
import { type RegistryEffect, reply, replyText } from './event.js';
import { hasMajorityContact, onlyPeersHearPrimary, primaryHolder } from './queries.js';
import type { PendingCommand, RegistryState, RegistryTransition } from './state.js';

const resendIntervalMs = 400;
const maxPendingCommands = 256;
/** Time without contact to a majority, or to a primary that peers hear, after which a command is ended. */
const contactTimeoutMs = 900;
/**
 * Age above which a command requires contact with the majority within `contactTimeoutMs`, even if a
 * primary on the same machine still holds its lease.
 */
const strictContactAfterMs = 600;

/** A command or read for the primary, as built from an external request. */
export interface ForwardedCommand
  extends
    Pick<PendingCommand, 'verb' | 'body' | 'timeoutMs'>,
    Partial<Pick<PendingCommand, 'baseGeneration' | 'chunks'>> {
  readonly id: CommandId;
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
 * Whether a command must be ended because this registry is disconnected: it has no contact with the
 * majority, or does not hear the primary while peers do. While no registry hears a primary, a new one
 * is being elected, and the command waits for it.
 */
const isDisconnected = (state: RegistryState, command: PendingCommand, now: Timestamp): boolean => {
  if (!hasMajorityContact(state, now)) return true;
  const needsFreshContact = now - command.receivedAt > strictContactAfterMs;
  if (needsFreshContact && !hasMajorityContact(state, now, contactTimeoutMs)) return true;
  const primaryHeardAt = Math.max(command.receivedAt, state.feed.asOf ?? -Infinity);
  if (now - primaryHeardAt <= contactTimeoutMs) return false;
  // A registry that restarted while disconnected does not know the electorate.
  if (state.electorate === undefined) return true;
  return !hasMajorityContact(state, now, contactTimeoutMs) || onlyPeersHearPrimary(state);
};

/** Correlation ids of all requests that wait for a command's reply. */
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

const endWithoutReply = (id: CommandId, command: PendingCommand): readonly RegistryEffect[] => {
  const didNotRun = command.forwardedAt === undefined || isRead(command);
  const replyTo = didNotRun ? notForwarded : outcomeUnknown;
  return correlationIdsOf(command).map((correlationId) => replyTo(correlationId, id));
};

/** Forwards pending commands to the primary, and ends those that timed out or can't be forwarded. */
const tickCommands = (state: RegistryState, now: Timestamp): RegistryTransition => {
  let pendingCommands = state.pendingCommands;
  const effects: RegistryEffect[] = [];
  // The known holder may be outdated: commands are forwarded once this incarnation has heard a primary.
  const primary = state.feed.asOf === undefined ? undefined : primaryHolder(state);
  for (const [id, command] of state.pendingCommands) {
    if (now - command.receivedAt > command.timeoutMs || isDisconnected(state, command, now)) {
      pendingCommands = withoutEntry(pendingCommands, id);
      effects.push(...endWithoutReply(id, command));
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

/** Handles a tick for all requests that wait for stores: commands, then bootstraps. */
export const tickPendingCommands = (state: RegistryState, now: Timestamp): RegistryTransition => {
  const ticked = tickCommands(state, now);
  return prependEffects(ticked.effects, expireBootstraps(ticked.state, now));
};

/** Adds a repeated command to the pending one; rejects a repeated read, or other content with the same id. */
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

/** Body of the reply if no commands are accepted now; undefined if they are. */
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

/** Accepts a command or read, and forwards it at once if a primary is known. */
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

/** Handles the primary's reply to a command: replies to all waiting requests, unless a read needs chunks first. */
export const onCommandResult = (
  state: RegistryState,
  result: FrameOf<'called'>,
  now: Timestamp,
): RegistryTransition => {
  const command = state.pendingCommands.get(result.id);
  if (command === undefined) return transition(state);
  if (result.status === 200 && readsConfiguration(command))
    return onManifestReply(state, command, result, now);
  return transition(
    { ...state, pendingCommands: withoutEntry(state.pendingCommands, result.id) },
    ...correlationIdsOf(command).map((correlationId) =>
      replyText(correlationId, result.status, result.body),
    ),
  );
};
