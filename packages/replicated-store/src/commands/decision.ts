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

/** What a command comes to: changes of the table, and what to tell whom once they last. */
export interface Decision {
  readonly puts: readonly TableMutation[];
  readonly repliesAfterWrite: readonly CommandReply[];
  /** Told at once: nothing is written for them. */
  readonly immediateReplies: readonly CommandReply[];
  readonly electorate?: Electorate;
  /** Invariants that were found broken on the way. */
  readonly violations?: readonly Invariant[];
}

/** A command that changes nothing and answers nobody. */
export const noChange: Decision = { puts: [], repliesAfterWrite: [], immediateReplies: [] };

/** An answer to whoever sent the command, under the id of the call. */
export const commandReply = (
  command: Extract<Command, { caller: unknown }>,
  status: number,
  body: object,
): CommandReply => ({
  ...command.caller,
  status,
  body: JSON.stringify({ ...body, id: command.caller.id }),
});

/** Keeps the answer with the write it belongs to, and lets the oldest go. */
export const rememberReply = (
  control: ControlState,
  reply: CommandReply,
  seq: Seq,
): readonly TableMutation[] => {
  const old =
    control.commandOutcomes.size < maxKeptOutcomes
      ? []
      : [...control.commandOutcomes]
          .sort(([, one], [, two]) => one.seq - two.seq)
          .slice(0, control.commandOutcomes.size - maxKeptOutcomes + 1);
  return [
    putRecord(controlKeys.call(reply.id), { status: reply.status, body: reply.body, seq }),
    ...old.map(([id]) => deleteRecord(controlKeys.call(id))),
  ];
};

/** The answer that a call with this id got before, if it is still kept; told once the write it belongs to lasts. */
export const earlierReply = (
  control: ControlState,
  command: Extract<Command, { caller: unknown }>,
  seq: Seq,
): Decision | undefined => {
  const before = control.commandOutcomes.get(command.caller.id);
  if (before === undefined) return undefined;
  const answer: CommandReply = { ...command.caller, status: before.status, body: before.body };
  const isInThisWrite = before.seq === seq;
  return isInThisWrite
    ? { ...noChange, repliesAfterWrite: [answer] }
    : { ...noChange, immediateReplies: [answer] };
};
