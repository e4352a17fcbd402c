import type { Invariant, Violation } from '../cluster/invariants.js';
import type { Simulation } from '../cluster/simulation.js';
import type { Deviation } from '../schedule/deviation.js';
import type { ClusterLayout, Scenario } from '../schedule/scenario.js';
import { candidateDeviations } from './candidates.js';
import { checkpointBefore, formedAtMs, formedCluster, runEnd, traceFrom } from './run.js';

/** Bounds of a search over all placements of deviations. */
export interface ExhaustiveBounds {
  /** How many deviations at most. */
  readonly faults: number;
  /** Within how many milliseconds they begin. */
  readonly depth: number;
  /** How many states at most. */
  readonly states: number;
  readonly ignored: ReadonlySet<Invariant>;
  /** Whether to end with the first violation. */
  readonly stopAtFirst: boolean;
}

/** An invariant that failed, with the schedule that brings it about. */
export interface FoundViolation {
  readonly scenario: Scenario;
  readonly violation: Violation;
  /** How many states had been looked at by then. */
  readonly states: number;
}

/** What was looked at. */
export interface ExhaustiveResult {
  readonly found: readonly FoundViolation[];
  readonly states: number;
  readonly runs: number;
  readonly confirmedWrites: number;
  /** Whether every placement was tried, or the bound of states came first. */
  readonly complete: boolean;
}

/** Tries every placement of up to so many deviations in a window of the default schedule. */
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
    const goesOn = chosen.length < this.#bounds.faults;
    const trace = traceFrom(start, last, goesOn ? windowEnd : start.now, runEnd(chosen));
    this.runs += 1;
    this.states += trace.result.states;
    this.confirmedWrites += trace.result.confirmedWrites;
    const { violation } = trace.result;
    if (violation !== undefined) {
      const scenario: Scenario = { layout: this.#layout, deviations: chosen };
      this.found.push({ scenario, violation, states: this.states });
      return;
    }
    if (!goesOn) return;
    const reduceTo = chosen.length === 0 && this.#bounds.faults > 1 ? start : undefined;
    const after = last?.at ?? formedAtMs;
    for (const one of candidateDeviations(trace.occurrences, after, windowEnd, reduceTo)) {
      const checkpoint = checkpointBefore(trace, one.at);
      if (checkpoint !== undefined) this.explore(checkpoint, [...chosen, one]);
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
