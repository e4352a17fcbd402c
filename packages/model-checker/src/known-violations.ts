/** Known violations, which searches ignore. */

import type { Invariant } from './cluster/invariants.js';

/**
 * Invariants that the code is known to violate; searches go past them, and each has a schedule of its own in the tests.
 * An entry is removed once its fault is fixed.
 */
export const knownViolations: ReadonlySet<Invariant> = new Set<Invariant>();
