/**
 * Decides commands: what each changes in the table, and who is answered. No state is changed here; the write
 * that bears the changes is log-write's business.
 */

import type { Seq } from '@switchwheel/types';
import {
  type ControlState,
  controlKeys,
  deleteRecord,
  planRollout,
  tickRollout,
} from '@switchwheel/configuration';
import { decideApply } from './apply-configuration.js';
import { chunkPuts } from './chunks.js';
import type { Command } from './command.js';
import { decideCanary } from './decide-canary.js';
import { decideNode } from './decide-node.js';
import { decidePurge } from './decide-purge.js';
import { onlyCurrentRevisions, rolloutPolicyOf } from './decide-rollout.js';
import { type Decision, commandReply, earlierReply, noChange, rememberReply } from './decision.js';
import { decideRelease, decideRolloutRequest } from './rollout-request.js';
import { originPuts } from '../origins/origin-records.js';
import type { StoreState } from '../state/state.js';

/** What one command changes, seen from the control state as it will be after those before it. */
export const decide = (
  state: StoreState,
  control: ControlState,
  command: Command,
  seq: Seq,
  now: StoreState['rolloutsAdvancedAt'],
): Decision & {
  readonly seen?: StoreState['targetStatusSeen'];
  readonly opened?: StoreState['rolloutOpenedAt'];
} => {
  switch (command.kind) {
    case 'applyConfiguration':
      return decideApply(state, control, command, seq);
    case 'storeChunks':
      return { ...noChange, puts: chunkPuts(state, control, command.hashes) };
    case 'purge':
      return decidePurge(control, command, seq);
    case 'changeElectorate': {
      const again = earlierReply(control, command, seq);
      if (again !== undefined) return again;
      if (
        state.metadata !== undefined &&
        command.electorate.serial <= state.metadata.electorate.serial
      ) {
        return {
          ...noChange,
          immediateReplies: [
            commandReply(command, 409, {
              kind: 'stale',
              text: 'the electorate changed meanwhile; ask again with a new id',
            }),
          ],
        };
      }
      const result = commandReply(command, 200, {
        kind: 'accepted',
        electorate: command.electorate,
      });
      return {
        ...noChange,
        repliesAfterWrite: [result],
        puts: rememberReply(control, result, seq),
        electorate: command.electorate,
      };
    }
    case 'followRegistries':
      return { ...noChange, electorate: command.electorate };
    case 'recordNode':
      return decideNode(control, command);
    case 'forgetNode':
      return control.nodes.get(command.node)?.online === false
        ? { ...noChange, puts: [deleteRecord(controlKeys.node(command.node))] }
        : noChange;
    case 'recordCanary':
      return decideCanary(control, command);
    case 'requestRollout': {
      const again = earlierReply(control, command, seq);
      if (again !== undefined) return again;
      const ordered = decideRolloutRequest(state, control, command, now);
      const result = commandReply(command, ordered.status, ordered.body);
      if (ordered.status !== 200) return { ...noChange, immediateReplies: [result] };
      return {
        ...noChange,
        repliesAfterWrite: [result],
        puts: [...ordered.puts, ...rememberReply(control, result, seq)],
      };
    }
    case 'recordRelease':
      return { ...noChange, puts: decideRelease(control, command.record) };
    case 'recordOrigins':
      return {
        ...noChange,
        puts: originPuts(
          control.origins,
          state.session.origins,
          command.isAnnouncementComplete,
          now,
        ),
      };
    case 'planRollout':
      return {
        ...noChange,
        puts: onlyCurrentRevisions(control, planRollout(control, rolloutPolicyOf(control))),
      };
    case 'advanceRollout': {
      const result = tickRollout(control, state.targetStatusSeen, state.rolloutOpenedAt, now);
      return {
        ...noChange,
        puts: onlyCurrentRevisions(control, result.puts),
        seen: result.seen,
        opened: result.opened,
      };
    }
  }
};
