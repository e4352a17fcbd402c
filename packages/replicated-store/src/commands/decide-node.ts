/**
 * Decides the record of a node from its reports.
 */

import { type NodeId, equalAsJson } from '@switchwheel/types';
import {
  type ControlState,
  type NodeRecord,
  controlKeys,
  deleteRecord,
  putRecord,
} from '@switchwheel/configuration';
import type { Command } from './command.js';
import { type Decision, noChange } from './decision.js';

/** Records the report of a node; ignores reports of an earlier incarnation. */
export const decideNode = (
  control: ControlState,
  command: Extract<Command, { kind: 'recordNode' }>,
): Decision => {
  const previous = control.nodes.get(command.node);
  const { role, incarnation, online, report } = command;
  if (previous !== undefined && previous.incarnation > incarnation) return noChange;
  const isNewIncarnation = previous?.incarnation !== incarnation;
  const row: NodeRecord = {
    role,
    incarnation,
    online,
    reported: report,
    assigned: previous?.assigned,
    desired: previous?.desired,
    // Cleared by a new incarnation and once the node has applied a configuration.
    failed:
      report.failed?.hash ??
      (isNewIncarnation || report.phase === 'applied' ? undefined : previous.failed),
  };
  if (previous !== undefined && equalAsJson(previous, row)) return noChange;
  return { ...noChange, puts: [putRecord(controlKeys.node(command.node), row)] };
};

/** Deletes the record of a node that is offline. */
export const decideForgetNode = (control: ControlState, node: NodeId): Decision =>
  control.nodes.get(node)?.online === false
    ? { ...noChange, puts: [deleteRecord(controlKeys.node(node))] }
    : noChange;
