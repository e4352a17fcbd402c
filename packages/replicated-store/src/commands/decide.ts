/**
 * Dispatches commands to the functions that decide their table mutations and replies. Nothing is written here; the
 * log-write modules write the mutations.
 */

import type { Seq, Timestamp } from '@switchwheel/types';
import type { ControlState } from '@switchwheel/configuration';
import { decideApply } from './apply-configuration.js';
import { chunkPuts } from './chunks.js';
import type { Command } from './command.js';
import { decideCanary } from './decide-canary.js';
import { decideForgetNode, decideNode } from './decide-node.js';
import { decidePurge } from './decide-purge.js';
import { decideRolloutAdvance, decideRolloutPlan } from './decide-rollout.js';
import { type Decision, noChange } from './decision.js';
import { decideElectorate } from './electorate-command.js';
import { decideRelease, decideRolloutRequest } from './rollout-request.js';
import { originPuts } from '../origins/origin-records.js';
import type { StoreState } from '../state/state.js';

/** Decides one command on the control state left by the commands before it. */
export const decide = (
  state: StoreState,
  control: ControlState,
  command: Command,
  seq: Seq,
  now: Timestamp,
): Decision => {
  switch (command.kind) {
    case 'applyConfiguration':
      return decideApply(state, control, command, seq);
    case 'storeChunks':
      return { ...noChange, puts: chunkPuts(state, control, command.hashes) };
    case 'purge':
      return decidePurge(control, command, seq);
    case 'changeElectorate':
      return decideElectorate(state, control, command, seq);
    case 'followRegistries':
      return { ...noChange, electorate: command.electorate };
    case 'recordNode':
      return decideNode(control, command);
    case 'forgetNode':
      return decideForgetNode(control, command.node);
    case 'recordCanary':
      return decideCanary(control, command);
    case 'requestRollout':
      return decideRolloutRequest(state, control, command, seq, now);
    case 'recordRelease':
      return { ...noChange, puts: decideRelease(control, command.record) };
    case 'recordOrigins':
      return {
        ...noChange,
        puts: originPuts(
          control.origins,
          state.session.origins,
          {
            recordsLiveOrigins: state.settings.persistsOrigins === true,
            isAnnouncementComplete: command.isAnnouncementComplete,
          },
          now,
        ),
      };
    case 'planRollout':
      return decideRolloutPlan(control);
    case 'advanceRollout':
      return decideRolloutAdvance(state, control, now);
  }
};
