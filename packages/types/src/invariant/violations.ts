/**
 * Invariants that programs check on themselves while they run. A violation is a defect of the program,
 * never of its surroundings: it is logged, counted in a metric, and fails every test that runs the program.
 */

import { increment } from '../table/counter.js';

/** The invariants, by the names that logs carry. */
export type Invariant =
  /** The table of a store in sync holds each chunk of the configuration in force. */
  | 'description-whole'
  /** A change that is about to be put in force still has each chunk that it was found to have. */
  | 'order-keeps-pieces'
  /** No primary reports to a registry a configuration older than one that it reported as confirmed. */
  | 'confirmed-kept'
  /** Within one incarnation a node applies no configuration older than the one that it runs. */
  | 'generation-rises';

/** How often each invariant was violated in this process. */
export type Violations = ReadonlyMap<Invariant, number>;

/** No violations yet. */
export const noViolations: Violations = new Map();

/** Adds newly detected violations to the counts. */
export const countViolations = (
  violations: Violations,
  detected: readonly Invariant[],
): Violations => {
  if (detected.length === 0) return violations;
  const counts = new Map(violations);
  for (const invariant of detected) increment(counts, invariant);
  return counts;
};

/** The number of violations of all invariants together. */
export const totalViolations = (violations: Violations): number =>
  [...violations.values()].reduce((sum, count) => sum + count, 0);
