/**
 * Decides purge commands.
 */

import { type Seq, nextSeq } from '@switchwheel/types';
import type { Purge } from '@switchwheel/transport';
import {
  type ControlState,
  controlKeys,
  deleteRecord,
  latestPurge,
  purgesToDrop,
  putRecord,
} from '@switchwheel/configuration';
import type { Command } from './command.js';
import { type Decision, commandReply, earlierReply, noChange, rememberReply } from './decision.js';

/** Assigns a number to a purge and records it; deletes the oldest purges beyond the limit. */
export const decidePurge = (
  control: ControlState,
  command: Extract<Command, { kind: 'purge' }>,
  seq: Seq,
): Decision => {
  const earlier = earlierReply(control, command, seq);
  if (earlier !== undefined) return earlier;
  const number = nextSeq(latestPurge(control));
  const purge: Purge = { seq: number, aims: [...command.targets] };
  const reply = commandReply(command, 200, {
    kind: 'accepted',
    purge: number,
    aims: command.targets.length,
  });
  const dropped = purgesToDrop(control.purges, purge);
  return {
    ...noChange,
    repliesAfterWrite: [reply],
    puts: [
      putRecord(controlKeys.purge(number), purge),
      ...dropped.map((oldPurge) => deleteRecord(controlKeys.purge(oldPurge.seq))),
      ...rememberReply(control, reply, seq),
    ],
  };
};
