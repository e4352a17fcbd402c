/** The invariants of a store: what must hold after each event, and what becomes of a violation. */

import { type Invariant, type Transition, countViolations, transition } from '@switchwheel/types';
import { log } from '@switchwheel/transport';
import { lackingChunks } from '../commands/chunk-repair.js';
import { isInSync } from '../leadership/candidacy.js';
import type { StoreEffect } from './events.js';
import type { StoreState } from './state.js';

/** Counts violations and logs them. */
export const noteViolations = (
  state: StoreState,
  violated: readonly Invariant[],
): Transition<StoreState, StoreEffect> =>
  violated.length === 0
    ? transition(state)
    : transition(
        { ...state, violations: countViolations(state.violations, violated) },
        ...violated.map((invariant) =>
          log('error', 'an invariant is broken', ['invariant', invariant]),
        ),
      );

/** Whether what the invariants speak of is another than before. */
const mayAffectInvariants = (before: StoreState, after: StoreState): boolean =>
  before.control.configuration !== after.control.configuration ||
  before.control.chunks !== after.control.chunks ||
  isInSync(before) !== isInSync(after);

/** Checks a store after an event that changed its table or its place in the in-sync set. */
export const checkInvariants = (
  before: StoreState,
  after: StoreState,
): Transition<StoreState, StoreEffect> => {
  if (!mayAffectInvariants(before, after) || !isInSync(after)) return transition(after);
  return noteViolations(after, lackingChunks(after).length > 0 ? ['description-whole'] : []);
};
