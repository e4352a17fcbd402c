import type { Invariant } from '../cluster/invariants.js';
import { type Scenario, platformLayout } from '../schedule/scenario.js';
import { exploreExhaustively, type FoundViolation } from './exhaustive.js';
import { randomWalk } from './random-walk.js';
import { corpus } from '../schedule/corpus.js';
import { runScenario } from './run.js';

/** Bounds of a whole search: first all placements of few deviations, then random walks with more. */
export interface SearchBounds {
  /** How many states at most, half of them for the placements. */
  readonly states: number;
  /** Within how many milliseconds deviations begin. */
  readonly depth: number;
  /** How many deviations a random walk has at most. */
  readonly faults: number;
  readonly members: readonly number[];
  readonly seed: number;
  readonly ignored: ReadonlySet<Invariant>;
  readonly stopAtFirst: boolean;
}

/** What a search came to. */
export interface SearchReport {
  readonly states: number;
  readonly placements: number;
  /** Of each size of cluster, whether all placements within the bounds were tried. */
  readonly complete: ReadonlyMap<number, boolean>;
  readonly walks: number;
  readonly confirmedWrites: number;
  readonly found: readonly FoundViolation[];
}

const placementShare = 0.5;

/** Searches within the bounds. */
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
      states: (bounds.states * placementShare) / bounds.members.length,
      ignored: bounds.ignored,
      stopAtFirst: bounds.stopAtFirst,
    });
    const before = states;
    found.push(...result.found.map((one) => ({ ...one, states: before + one.states })));
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

/** A scenario as a literal for a test. */
export const printScenario = (scenario: Scenario): string => JSON.stringify(scenario);
