/**
 * Invariants that programs check at run time. A violation is always a bug of the program, never caused by
 * its environment: it is logged, counted in a metric, and fails every test that runs the program.
 */

import { increment } from '../table/counter.js';

/** Name of an invariant, as log lines carry it. */
export type Invariant =
  /** The table of a store in the in-sync set holds every chunk of the configuration in force. */
  | 'description-whole'
  /** All chunks of an accepted configuration are still available when it is about to take effect. */
  | 'order-keeps-pieces'
  /** The current configuration that primaries report to a registry is never older than before. */
  | 'confirmed-kept'
  /** Within one incarnation, a node never applies a configuration older than its current one. */
  | 'generation-rises';

/** Number of violations of each invariant in this process. */
export type Violations = ReadonlyMap<Invariant, number>;

/** Counts of a process that has just started. */
export const noViolations: Violations = new Map();

/** Returns the counts with newly detected violations added. */
export const countViolations = (
  violations: Violations,
  detected: readonly Invariant[],
): Violations => {
  if (detected.length === 0) return violations;
  const counts = new Map(violations);
  for (const invariant of detected) increment(counts, invariant);
  return counts;
};

/** Returns the number of violations of all invariants together. */
export const totalViolations = (violations: Violations): number =>
  [...violations.values()].reduce((sum, count) => sum + count, 0);
