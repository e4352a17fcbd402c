/**
 * What deciding a command yields, and what all deciders share: replies, and the replies kept by command id.
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

/** What a command comes to: changes of the table, and the replies that are sent once these are committed. */
export interface Decision {
  readonly puts: readonly TableMutation[];
  readonly repliesAfterWrite: readonly CommandReply[];
  /** Sent at once: nothing is written for them. */
  readonly immediateReplies: readonly CommandReply[];
  readonly electorate?: Electorate;
  /** With an advanced rollout: since when each target has had its status, and when the rollout was opened. */
  readonly targetStatusSince?: StoreState['targetStatusSince'];
  readonly rolloutOpenedAt?: StoreState['rolloutOpenedAt'];
  /** Invariants that were found broken on the way. */
  readonly violations?: readonly Invariant[];
}

/** A command that changes nothing and needs no reply. */
export const noChange: Decision = { puts: [], repliesAfterWrite: [], immediateReplies: [] };

/** A reply to whoever sent the command, under the command's id. */
export const commandReply = (
  command: Extract<Command, { caller: unknown }>,
  status: number,
  body: object,
): CommandReply => ({
  ...command.caller,
  status,
  body: JSON.stringify({ ...body, id: command.caller.id }),
});

/** Keeps the reply with the write that it belongs to, and deletes the oldest beyond the bound. */
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

/** The reply that a command with this id got before, if it is still kept; sent once the write that it belongs to is committed. */
export const earlierReply = (
  control: ControlState,
  command: Extract<Command, { caller: unknown }>,
  seq: Seq,
): Decision | undefined => {
  const before = control.commandOutcomes.get(command.caller.id);
  if (before === undefined) return undefined;
  const reply: CommandReply = { ...command.caller, status: before.status, body: before.body };
  const isInThisWrite = before.seq === seq;
  return isInThisWrite
    ? { ...noChange, repliesAfterWrite: [reply] }
    : { ...noChange, immediateReplies: [reply] };
};
