/** Complete search: the corpus, then all placements of one deviation, then random walks. */

import type { Invariant } from '../cluster/invariants.js';
import { type Scenario, platformLayout } from '../schedule/scenario.js';
import { exploreExhaustively, type FoundViolation } from './exhaustive.js';
import { randomWalk } from './random-walk.js';
import { corpus } from '../schedule/corpus.js';
import { runScenario } from './run.js';

/** Bounds of a complete search. */
export interface SearchBounds {
  /** Approximate maximum number of states; half of them are for the placements. */
  readonly states: number;
  /** Length of the window in which deviations start, in milliseconds. */
  readonly depth: number;
  /** Maximum number of deviations in a random walk. */
  readonly faults: number;
  /** Cluster sizes to search. */
  readonly members: readonly number[];
  readonly seed: number;
  readonly ignored: ReadonlySet<Invariant>;
  readonly stopAtFirst: boolean;
}

/** Result and coverage of a complete search. */
export interface SearchReport {
  readonly states: number;
  readonly placements: number;
  /** Whether all placements within the bounds were tried, by cluster size. */
  readonly complete: ReadonlyMap<number, boolean>;
  readonly walks: number;
  readonly confirmedWrites: number;
  readonly found: readonly FoundViolation[];
}

const placementFraction = 0.5;

/** Runs a complete search within the bounds. */
export const search = (bounds: SearchBounds): SearchReport => {
  const found: FoundViolation[] = [];
  const complete = new Map<number, boolean>();
  let states = 0;
  let placements = 0;
  let confirmedWrites = 0;
  const isOver = (): boolean => bounds.stopAtFirst && found.length > 0;
  for (const { scenario } of corpus) {
    const result = runScenario(scenario, bounds.ignored);
    states += result.states;
    confirmedWrites += result.confirmedWrites;
    if (result.violation !== undefined)
      found.push({ scenario, violation: result.violation, states });
  }
  for (const members of bounds.members) {
    if (isOver()) break;
    const result = exploreExhaustively(platformLayout(members, bounds.seed), {
      faults: 1,
      depth: bounds.depth,
      states: (bounds.states * placementFraction) / bounds.members.length,
      ignored: bounds.ignored,
      stopAtFirst: bounds.stopAtFirst,
    });
    const statesBefore = states;
    found.push(
      ...result.found.map((violation) => ({
        ...violation,
        states: statesBefore + violation.states,
      })),
    );
    states += result.states;
    placements += result.runs;
    confirmedWrites += result.confirmedWrites;
    complete.set(members, result.complete);
  }
  let walks = 0;
  for (let seed = bounds.seed * 1_000_003; states < bounds.states && !isOver(); seed += 1) {
    const { scenario, result } = randomWalk(seed, bounds);
    walks += 1;
    states += result.states;
    confirmedWrites += result.confirmedWrites;
    if (result.violation !== undefined)
      found.push({ scenario, violation: result.violation, states });
  }
  return { states, placements, complete, walks, confirmedWrites, found };
};

/** Formats a scenario as a JSON literal for a test. */
export const printScenario = (scenario: Scenario): string => JSON.stringify(scenario);
