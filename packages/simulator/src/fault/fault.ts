/** Faults that a run may inject, and the weighted choice among them. */

import type { FaultContext } from './fault-context.js';

/** A fault, or another event, that a run injects. */
export interface Fault {
  readonly name: string;
  /** Relative frequency. */
  readonly weight: number;
  readonly inject: (context: FaultContext) => void;
}

/** Picks a fault at random by the weights of the candidates. */
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
