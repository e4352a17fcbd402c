/** What deciding a command yields, and what all deciders share: answers and the answers kept by call id. */
import type { Invariant, Seq } from '@switchwheel/types';
import type { Electorate, Put } from '@switchwheel/transport';
import { type Control, erase, keptCalls, keyOf, write } from '@switchwheel/configuration';
import type { CallResult, Command } from '../state/state.js';

/** What a command comes to: changes of the table, and what to tell whom once they last. */
export interface Decision {
  readonly puts: readonly Put[];
  readonly results: readonly CallResult[];
  /** Told at once: nothing is written for them. */
  readonly immediateReplies: readonly CallResult[];
  readonly electorate?: Electorate;
  /** Invariants that were found broken on the way. */
  readonly violations?: readonly Invariant[];
}
/** A command that changes nothing and answers nobody. */
export const noChange: Decision = { puts: [], results: [], immediateReplies: [] };

/** An answer to whoever sent the command, under the id of the call. */
export const callResult = (
  command: Extract<Command, { asker: unknown }>,
  status: number,
  body: object,
): CallResult => ({
  ...command.asker,
  status,
  body: JSON.stringify({ ...body, id: command.asker.id }),
});

/** Keeps the answer with the write it belongs to, and lets the oldest go. */
export const rememberResult = (control: Control, result: CallResult, seq: Seq): readonly Put[] => {
  const old =
    control.calls.size < keptCalls
      ? []
      : [...control.calls]
          .sort(([, one], [, two]) => one.seq - two.seq)
          .slice(0, control.calls.size - keptCalls + 1);
  return [
    write(keyOf.call(result.id), { status: result.status, body: result.body, seq }),
    ...old.map(([id]) => erase(keyOf.call(id))),
  ];
};

/** The answer that a call with this id got before, if it is still kept; told once the write it belongs to lasts. */
export const earlierResult = (
  control: Control,
  command: Extract<Command, { asker: unknown }>,
  seq: Seq,
): Decision | undefined => {
  const before = control.calls.get(command.asker.id);
  if (before === undefined) return undefined;
  const answer: CallResult = { ...command.asker, status: before.status, body: before.body };
  const isInThisWrite = before.seq === seq;
  return isInThisWrite
    ? { ...noChange, results: [answer] }
    : { ...noChange, immediateReplies: [answer] };
};
