/**
 * Automatic membership changes of the electorate. `electorate.ts` decides the next change; this module adds it to
 * the command queue.
 */

import { type Timestamp, prependEffects, toTimestamp, transition } from '@switchwheel/types';
import { log } from '@switchwheel/transport';
import { enqueue } from '../commands/queue.js';
import { nextElectorate, recordPolledElectorate } from './electorate.js';
import type { StoreState } from '../state/state.js';
import type { StoreTransition } from '../state/transition.js';

/** Makes the lease renewal due at the next tick, as a change of the electorate waits for it. */
const renewLeaseSoon = (state: StoreState): StoreState => {
  const { candidate } = state;
  if (candidate.phase.phase !== 'holdingLease') return state;
  const renewalRequestedAt = toTimestamp(
    Math.max(0, candidate.phase.renewalRequestedAt - candidate.leaseMs),
  );
  return {
    ...state,
    candidate: { ...candidate, phase: { ...candidate.phase, renewalRequestedAt } },
  };
};

/** Queues the next change that adapts the electorate to the live registries, one member at a time. */
export const followRegistries = (before: StoreState, now: Timestamp): StoreTransition => {
  const recorded = recordPolledElectorate(before, now);
  const state = recorded === before ? before : renewLeaseSoon(recorded);
  const isChanging =
    state.primaryWrite !== undefined ||
    state.commandQueue.some(
      ({ kind }) => kind === 'changeElectorate' || kind === 'followRegistries',
    );
  const electorate =
    state.settings.electorateFollowsRegistries && !isChanging
      ? nextElectorate(state, now)
      : undefined;
  if (electorate === undefined) return transition(state);
  const queued = enqueue(state, { kind: 'followRegistries', electorate });
  return prependEffects(
    [
      log('info', 'electorate change queued', [
        'members',
        electorate.members.map((member) => member.node).join(', '),
      ]),
    ],
    queued,
  );
};
