/** Depth-first search over all placements of a few deviations, from clones of a running cluster. */

import type { Invariant, Violation } from '../cluster/invariants.js';
import type { Simulation } from '../cluster/simulation.js';
import type { Deviation } from '../schedule/deviation.js';
import type { ClusterLayout, Scenario } from '../schedule/scenario.js';
import { candidateDeviations } from './candidates.js';
import { checkpointBefore, formedAtMs, formedCluster, runEnd, traceFrom } from './run.js';

/** Bounds of an exhaustive search. */
export interface ExhaustiveBounds {
  /** Maximum number of deviations in a schedule. */
  readonly faults: number;
  /** Length of the window in which deviations start, in milliseconds. */
  readonly depth: number;
  /** Number of states after which no further schedule is tried. */
  readonly states: number;
  readonly ignored: ReadonlySet<Invariant>;
  /** Whether to stop at the first violation. */
  readonly stopAtFirst: boolean;
}

/** Violation of an invariant with the schedule that leads to it. */
export interface FoundViolation {
  readonly scenario: Scenario;
  readonly violation: Violation;
  /** Number of states explored until then. */
  readonly states: number;
}

/** Result and coverage of an exhaustive search. */
export interface ExhaustiveResult {
  readonly found: readonly FoundViolation[];
  readonly states: number;
  readonly runs: number;
  readonly confirmedWrites: number;
  /** Whether every placement was tried; false if the bound on states was reached. */
  readonly complete: boolean;
}

/** Recursive search; each call runs one schedule and extends it by one deviation. */
class ExhaustiveSearch {
  readonly found: FoundViolation[] = [];
  states = 0;
  runs = 0;
  confirmedWrites = 0;
  complete = true;
  readonly #layout: ClusterLayout;
  readonly #bounds: ExhaustiveBounds;

  constructor(layout: ClusterLayout, bounds: ExhaustiveBounds) {
    this.#layout = layout;
    this.#bounds = bounds;
  }

  explore(start: Simulation, chosen: readonly Deviation[]): void {
    if (this.#bounds.stopAtFirst && this.found.length > 0) return;
    if (this.states >= this.#bounds.states) {
      this.complete = false;
      return;
    }
    const windowEnd = formedAtMs + this.#bounds.depth;
    const last = chosen.at(-1);
    const canExtend = chosen.length < this.#bounds.faults;
    const trace = traceFrom(start, last, canExtend ? windowEnd : start.now, runEnd(chosen));
    this.runs += 1;
    this.states += trace.result.states;
    this.confirmedWrites += trace.result.confirmedWrites;
    const { violation } = trace.result;
    if (violation !== undefined) {
      const scenario: Scenario = { layout: this.#layout, deviations: chosen };
      this.found.push({ scenario, violation, states: this.states });
      return;
    }
    if (!canExtend) return;
    const reduceTo = chosen.length === 0 && this.#bounds.faults > 1 ? start : undefined;
    const after = last?.at ?? formedAtMs;
    for (const deviation of candidateDeviations(trace.occurrences, after, windowEnd, reduceTo)) {
      const checkpoint = checkpointBefore(trace, deviation.at);
      if (checkpoint !== undefined) this.explore(checkpoint, [...chosen, deviation]);
    }
  }
}

/** Searches all placements of deviations within the bounds. */
export const exploreExhaustively = (
  layout: ClusterLayout,
  bounds: ExhaustiveBounds,
): ExhaustiveResult => {
  const search = new ExhaustiveSearch(layout, bounds);
  const start = formedCluster(layout, bounds.ignored);
  search.explore(start, []);
  const { found, states, runs, confirmedWrites, complete } = search;
  return { found, states, runs, confirmedWrites, complete };
};
