/** One fault that a run may cause, and the choice among several by their weights. */

import type { FaultContext } from './fault-context.js';

/** What a run may do to a fleet. */
export interface Fault {
  readonly name: string;
  /** How often it is picked beside the others. */
  readonly weight: number;
  readonly cause: (context: FaultContext) => void;
}

/** Picks faults by their weights. */
export const pickFault = (
  context: FaultContext,
  candidates: readonly Fault[],
): Fault | undefined => {
  let left = context.world.random.next() * candidates.reduce((sum, one) => sum + one.weight, 0);
  for (const one of candidates) {
    left -= one.weight;
    if (left <= 0) return one;
  }
  return candidates.at(-1);
};
