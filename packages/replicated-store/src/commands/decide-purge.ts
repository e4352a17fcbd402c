/**
 * Decides purges.
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

/** Numbers a purge and keeps it; the oldest are deleted once there are too many. */
export const decidePurge = (
  control: ControlState,
  command: Extract<Command, { kind: 'purge' }>,
  seq: Seq,
): Decision => {
  const earlier = earlierReply(control, command, seq);
  if (earlier !== undefined) return earlier;
  const number = nextSeq(latestPurge(control));
  const batch: Purge = { seq: number, aims: [...command.targets] };
  const reply = commandReply(command, 200, {
    kind: 'accepted',
    purge: number,
    aims: command.targets.length,
  });
  const dropped = purgesToDrop(control.purges, batch);
  return {
    ...noChange,
    repliesAfterWrite: [reply],
    puts: [
      putRecord(controlKeys.purge(number), batch),
      ...dropped.map((purge) => deleteRecord(controlKeys.purge(purge.seq))),
      ...rememberReply(control, reply, seq),
    ],
  };
};
