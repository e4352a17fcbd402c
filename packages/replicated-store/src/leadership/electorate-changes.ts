/**
 * Lets the electorate follow the registries that are in touch. Which change is due is decided in
 * electorate.ts; this module puts it into the queue of commands.
 */

import { type Timestamp, prependEffects, toTimestamp, transition } from '@switchwheel/types';
import { log } from '@switchwheel/transport';
import { enqueue } from '../commands/queue.js';
import { nextElectorate, notePolledElectorate } from './electorate.js';
import type { StoreState } from '../state/state.js';
import type { StoreTransition } from '../state/transition.js';

/** Has the lease renewed with the next tick: a change of the electorate waits for it. */
const renewLeaseSoon = (state: StoreState): StoreState => {
  const { candidate } = state;
  if (candidate.phase.phase !== 'holdingLease') return state;
  const due = toTimestamp(Math.max(0, candidate.phase.renewalRequestedAt - candidate.leaseMs));
  return {
    ...state,
    candidate: { ...candidate, phase: { ...candidate.phase, renewalRequestedAt: due } },
  };
};

/** Lets the electorate follow the registries, one member at a time. */
export const followRegistries = (before: StoreState, now: Timestamp): StoreTransition => {
  const noted = notePolledElectorate(before, now);
  const state = noted === before ? before : renewLeaseSoon(noted);
  const open =
    state.primaryWrite !== undefined ||
    state.commandQueue.some(
      (one) => one.kind === 'changeElectorate' || one.kind === 'followRegistries',
    );
  const electorate =
    state.settings.electorateFollowsRegistries && !open ? nextElectorate(state, now) : undefined;
  if (electorate === undefined) return transition(state);
  const queued = enqueue(state, { kind: 'followRegistries', electorate });
  return prependEffects(
    [
      log('info', 'the electorate follows the registries', [
        'members',
        electorate.members.map((one) => one.node).join(', '),
      ]),
    ],
    queued,
  );
};
