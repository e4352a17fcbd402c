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

export const decidePurge = (
  control: ControlState,
  command: Extract<Command, { kind: 'purge' }>,
  seq: Seq,
): Decision => {
  const again = earlierReply(control, command, seq);
  if (again !== undefined) return again;
  const number = nextSeq(latestPurge(control));
  const batch: Purge = { seq: number, aims: [...command.targets] };
  const result = commandReply(command, 200, {
    kind: 'accepted',
    purge: number,
    aims: command.targets.length,
  });
  const old = purgesToDrop(control.purges, batch);
  return {
    ...noChange,
    repliesAfterWrite: [result],
    puts: [
      putRecord(controlKeys.purge(number), batch),
      ...old.map((one) => deleteRecord(controlKeys.purge(one.seq))),
      ...rememberReply(control, result, seq),
    ],
  };
};
