/** The invariants of a store: what must hold after each event, and what becomes of a violation. */
import { type Invariant, type Transition, countViolations, transition } from '@switchwheel/types';
import { log } from '@switchwheel/transport';
import { lackingPieces } from '../command/repair.js';
import { inSync } from '../leadership/candidacy.js';
import type { StoreEffect } from '../state/event.js';
import type { Store } from '../state/state.js';

/** Counts violations and tells of them. */
export const noteViolations = (
  state: Store,
  found: readonly Invariant[],
): Transition<Store, StoreEffect> =>
  found.length === 0
    ? transition(state)
    : transition(
        { ...state, violations: countViolations(state.violations, found) },
        ...found.map((one) => log('error', 'an invariant is broken', ['invariant', one])),
      );

/** Whether what the invariants speak of is another than before. */
const isChanged = (before: Store, after: Store): boolean =>
  before.control.stored !== after.control.stored ||
  before.control.pieces !== after.control.pieces ||
  inSync(before) !== inSync(after);

/** Checks a store after an event that changed its table or its place in the in-sync set. */
export const checkInvariants = (before: Store, after: Store): Transition<Store, StoreEffect> => {
  if (!isChanged(before, after) || !inSync(after)) return transition(after);
  return noteViolations(after, lackingPieces(after).length > 0 ? ['description-whole'] : []);
};
