/**
 * Result of deciding a command, and helpers for replies and for the replies stored by command id.
 */

import type { Invariant, Seq } from '@switchwheel/types';
import type { Electorate, TableMutation } from '@switchwheel/transport';
import {
  type ControlState,
  controlKeys,
  deleteRecord,
  maxKeptOutcomes,
  putRecord,
} from '@switchwheel/configuration';
import type { Command, CommandReply } from './command.js';
import type { StoreState } from '../state/state.js';

/** Result of a command: table mutations, and replies that are sent once these are committed. */
export interface Decision {
  readonly puts: readonly TableMutation[];
  readonly repliesAfterWrite: readonly CommandReply[];
  /** Replies sent at once, as they depend on no write. */
  readonly immediateReplies: readonly CommandReply[];
  readonly electorate?: Electorate;
  /** Result of a rollout advance: start of each target's current status, and the opening time of the rollout. */
  readonly targetStatusSince?: StoreState['targetStatusSince'];
  readonly rolloutOpenedAt?: StoreState['rolloutOpenedAt'];
  /** Invariants found violated while deciding. */
  readonly violations?: readonly Invariant[];
}

/** Decision without changes or replies. */
export const noChange: Decision = { puts: [], repliesAfterWrite: [], immediateReplies: [] };

/** Builds a reply to the caller of a command, with the command id in its body. */
export const commandReply = (
  command: Extract<Command, { caller: unknown }>,
  status: number,
  body: object,
): CommandReply => ({
  ...command.caller,
  status,
  body: JSON.stringify({ ...body, id: command.caller.id }),
});

/** Stores a reply by its command id, and deletes the oldest stored replies beyond the limit. */
export const rememberReply = (
  control: ControlState,
  reply: CommandReply,
  seq: Seq,
): readonly TableMutation[] => {
  const oldest =
    control.commandOutcomes.size < maxKeptOutcomes
      ? []
      : [...control.commandOutcomes]
          .sort(([, first], [, second]) => first.seq - second.seq)
          .slice(0, control.commandOutcomes.size - maxKeptOutcomes + 1);
  return [
    putRecord(controlKeys.commandOutcome(reply.id), {
      status: reply.status,
      body: reply.body,
      seq,
    }),
    ...oldest.map(([id]) => deleteRecord(controlKeys.commandOutcome(id))),
  ];
};

/**
 * Returns the stored reply of an earlier command with this id, if any; sent once the write that stores it is
 * committed.
 */
export const earlierReply = (
  control: ControlState,
  command: Extract<Command, { caller: unknown }>,
  seq: Seq,
): Decision | undefined => {
  const outcome = control.commandOutcomes.get(command.caller.id);
  if (outcome === undefined) return undefined;
  const reply: CommandReply = { ...command.caller, status: outcome.status, body: outcome.body };
  const isInThisWrite = outcome.seq === seq;
  return isInThisWrite
    ? { ...noChange, repliesAfterWrite: [reply] }
    : { ...noChange, immediateReplies: [reply] };
};
