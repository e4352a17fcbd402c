/** Invariants of a store, checked after each event. Violations are counted and logged. */

import { type Invariant, type Transition, countViolations, transition } from '@switchwheel/types';
import { log } from '@switchwheel/transport';
import { chunksMissingFromTable } from '../commands/chunk-repair.js';
import { isInSync } from '../leadership/candidacy.js';
import type { StoreEffect } from './events.js';
import type { StoreState } from './state.js';

/** Counts violations and logs them. */
export const recordViolations = (
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

/** Whether an event changed a part of the state that the invariants cover. */
const mayAffectInvariants = (before: StoreState, after: StoreState): boolean =>
  before.control.configuration !== after.control.configuration ||
  before.control.chunks !== after.control.chunks ||
  isInSync(before) !== isInSync(after);

/** Checks the invariants after an event that changed the configuration, its chunks or the in-sync membership. */
export const checkInvariants = (
  before: StoreState,
  after: StoreState,
): Transition<StoreState, StoreEffect> => {
  if (!mayAffectInvariants(before, after) || !isInSync(after)) return transition(after);
  return recordViolations(
    after,
    chunksMissingFromTable(after).length > 0 ? ['description-whole'] : [],
  );
};
