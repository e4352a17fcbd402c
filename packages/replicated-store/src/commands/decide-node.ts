/**
 * Decides what is recorded of a node from its reports.
 */

import { equalAsJson } from '@switchwheel/types';
import {
  type ControlState,
  type NodeRecord,
  controlKeys,
  putRecord,
} from '@switchwheel/configuration';
import type { Command } from './command.js';
import { type Decision, noChange } from './decision.js';

export const decideNode = (
  control: ControlState,
  command: Extract<Command, { kind: 'recordNode' }>,
): Decision => {
  const known = control.nodes.get(command.node);
  const { role, incarnation, online, report } = command;
  if (known !== undefined && known.incarnation > incarnation) return noChange;
  const fresh = known?.incarnation !== incarnation;
  const row: NodeRecord = {
    role,
    incarnation,
    online,
    reported: report,
    assigned: known?.assigned,
    desired: known?.desired,
    // A new run of a node starts without a mark; a mark ends when the node runs what it was for.
    failed: report.failed?.hash ?? (fresh || report.phase === 'applied' ? undefined : known.failed),
  };
  if (known !== undefined && equalAsJson(known, row)) return noChange;
  return { ...noChange, puts: [putRecord(controlKeys.node(command.node), row)] };
};
