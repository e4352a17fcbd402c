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
  let remainingWeight =
    context.world.random.next() * candidates.reduce((sum, fault) => sum + fault.weight, 0);
  for (const candidate of candidates) {
    remainingWeight -= candidate.weight;
    if (remainingWeight <= 0) return candidate;
  }
  return candidates.at(-1);
};
