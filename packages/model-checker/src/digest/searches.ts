/** Digests of the model checker's searches: how many states each went through, and which events. */

import { type DigestSuite, RunDigest, seedRange } from '@switchwheel/simulator/digest';
import { exploreExhaustively } from '../explore/exhaustive.js';
import { type RunResult, formedCluster, runEnd, runScenario } from '../explore/run.js';
import { randomWalk } from '../explore/random-walk.js';
import { search } from '../explore/search.js';
import { corpus } from '../schedule/corpus.js';
import { type Scenario, platformLayout } from '../schedule/scenario.js';

const noInvariants: ReadonlySet<never> = new Set<never>();
const walkBounds = { members: [3, 4, 5], faults: 6, depth: 800, ignored: noInvariants };

const addResult = (digest: RunDigest, result: RunResult): void => {
  digest.add(result.violation === undefined, result.states, result.confirmedWrites);
  digest.add(result.reads, result.leasesWon, result.electorateChanges);
};

/** Replays a schedule and adds each event and message: when, at which machine, from which to which. */
const addEvents = (digest: RunDigest, { layout, deviations }: Scenario): void => {
  const simulation = formedCluster(layout);
  for (const deviation of deviations) simulation.deviate(deviation);
  simulation.observer = ({ at, machine, from, to }) =>
    digest.add(at, machine, from?.machine, to?.machine);
  simulation.runUntil(runEnd(deviations));
};

const digestWalk = (seed: number): string => {
  const digest = new RunDigest();
  const { scenario, result } = randomWalk(seed, walkBounds);
  addResult(digest, result);
  digest.add(...scenario.deviations.map((deviation) => deviation.at));
  addEvents(digest, scenario);
  return `${result.states} states, ${digest.finish()}`;
};

/** Random walks, one a seed. */
export const walkSuite: DigestSuite = {
  name: 'random walk',
  seeds: seedRange(1, 60),
  seedsInTests: 6,
  digest: digestWalk,
};

const digestPlacements = (members: number): string => {
  const result = exploreExhaustively(platformLayout(members), {
    faults: 1,
    depth: 250,
    states: 40_000,
    ignored: noInvariants,
    stopAtFirst: true,
  });
  const { states, runs, confirmedWrites, complete, found } = result;
  return `${states} states, ${runs} runs, ${confirmedWrites} writes, ${String(complete)}, ${found.length} found`;
};

/** All placements of one deviation; the seed is the number of machines. */
export const placementSuite: DigestSuite = {
  name: 'placements by members',
  seeds: [3, 4, 5],
  seedsInTests: 0,
  digest: digestPlacements,
};

const digestSearch = (seed: number): string => {
  const report = search({ ...walkBounds, states: 120_000, depth: 200, seed, stopAtFirst: true });
  const { states, placements, walks, confirmedWrites, found } = report;
  return `${states} states, ${placements} placements, ${walks} walks, ${confirmedWrites} writes, ${found.length} found`;
};

/** Whole searches as the command runs them, within small bounds. */
export const searchSuite: DigestSuite = {
  name: 'search',
  seeds: [1, 2, 3],
  seedsInTests: 0,
  digest: digestSearch,
};

const digestCorpus = (number: number): string => {
  const digest = new RunDigest();
  const scenario = corpus[number]?.scenario;
  if (scenario === undefined) throw new Error(`no schedule ${number} in the corpus`);
  addResult(digest, runScenario(scenario));
  addEvents(digest, scenario);
  return digest.finish();
};

/** The schedules that every search begins with; the seed is the place in their list. */
export const corpusSuite: DigestSuite = {
  name: 'corpus',
  seeds: [...corpus.keys()],
  seedsInTests: corpus.length,
  digest: digestCorpus,
};
