/** Known violations, which searches ignore. */

import type { Invariant } from './cluster/invariants.js';

/** Invariants that the code is known to violate; an entry is removed once its fault is fixed. */
export const knownViolations: ReadonlySet<Invariant> = new Set<Invariant>();
