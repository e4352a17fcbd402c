/**
 * Operators' commands to change the electorate, one member at a time.
 */

import * as v from 'valibot';
import { type Seq, nextSeq } from '@switchwheel/types';
import type { Electorate } from '@switchwheel/transport';
import type { ControlState } from '@switchwheel/configuration';
import { electorateBody } from './command-bodies.js';
import type { Command } from './command.js';
import { type Decision, commandReply, earlierReply, noChange, rememberReply } from './decision.js';
import type { StoreState } from '../state/state.js';

/** Returns the changed electorate; undefined unless exactly one member is added, removed or moved. */
export const changedElectorate = (
  current: Electorate,
  body: v.InferOutput<typeof electorateBody>,
): Electorate | undefined => {
  const retainedMembers = current.members.filter(
    (member) => member.node !== body.remove && member.node !== body.add?.node,
  );
  const members = body.add === undefined ? retainedMembers : [...retainedMembers, body.add];
  const difference = members.length - current.members.length;
  const isMoved = body.add !== undefined && difference === 0;
  if (members.length === 0 || (difference === 0 && !isMoved)) return undefined;
  return { serial: nextSeq(current.serial), members };
};

/** Decides a change of the electorate; refused if the electorate has changed since the command was queued. */
export const decideElectorate = (
  state: StoreState,
  control: ControlState,
  command: Extract<Command, { kind: 'changeElectorate' }>,
  seq: Seq,
): Decision => {
  const earlier = earlierReply(control, command, seq);
  if (earlier !== undefined) return earlier;
  const { electorate } = command;
  if (state.metadata !== undefined && electorate.serial <= state.metadata.electorate.serial)
    return {
      ...noChange,
      immediateReplies: [
        commandReply(command, 409, {
          kind: 'stale',
          text: 'the electorate changed meanwhile; ask again with a new id',
        }),
      ],
    };
  const reply = commandReply(command, 200, { kind: 'accepted', electorate });
  return {
    ...noChange,
    repliesAfterWrite: [reply],
    puts: rememberReply(control, reply, seq),
    electorate,
  };
};
