/**
 * Invariants that programs check on themselves while they run. A violation is a fault of the program, never of its
 * surroundings: it is logged, counted, told among the readings, and fails every test that runs the program.
 */

/** What must hold, by name. */
export type Invariant =
  /** The table of a store in sync holds each piece of the description in force. */
  | 'description-whole'
  /** An order that is about to be put in force still has each piece that it was found to have. */
  | 'order-keeps-pieces'
  /** No primary tells a registry of a description that is older than one it was told as confirmed. */
  | 'confirmed-kept'
  /** Within one life a node puts no older description in force than it runs. */
  | 'generation-rises';

/** How often each invariant was found broken by this process. */
export type Violations = ReadonlyMap<Invariant, number>;

export const noViolations: Violations = new Map();

/** Counts violations that were found. */
export const countViolations = (
  violations: Violations,
  found: readonly Invariant[],
): Violations => {
  if (found.length === 0) return violations;
  const counts = new Map(violations);
  for (const one of found) counts.set(one, (counts.get(one) ?? 0) + 1);
  return counts;
};

/** How many violations there were of all invariants. */
export const totalViolations = (violations: Violations): number =>
  [...violations.values()].reduce((sum, one) => sum + one, 0);
