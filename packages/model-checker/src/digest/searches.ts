/** Digests of the model checker's searches: the number of states and, for single runs, the events. */

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

/** Replays a schedule and adds time, machine, sender and receiver of each event and message to a digest. */
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

/** Random walks, one for each seed. */
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

/** All placements of one deviation; the seed is the cluster size. */
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

/** Complete searches as run by the command, within small bounds. */
export const searchSuite: DigestSuite = {
  name: 'search',
  seeds: [1, 2, 3],
  seedsInTests: 0,
  digest: digestSearch,
};

const digestCorpus = (index: number): string => {
  const digest = new RunDigest();
  const scenario = corpus[index]?.scenario;
  if (scenario === undefined) throw new Error(`no schedule has index ${index} in the corpus`);
  addResult(digest, runScenario(scenario));
  addEvents(digest, scenario);
  return digest.finish();
};

/** Schedules of the corpus; the seed is the index. */
export const corpusSuite: DigestSuite = {
  name: 'corpus',
  seeds: [...corpus.keys()],
  seedsInTests: corpus.length,
  digest: digestCorpus,
};
