/** Recorded suites, in the order of the file of digests. */

import {
  type DigestSuite,
  directEdgeSuite,
  fleetSuite,
  operatorSuite,
  runName,
} from '@switchwheel/simulator/digest';
import { corpusSuite, placementSuite, searchSuite, walkSuite } from './searches.js';

const suites: readonly DigestSuite[] = [
  fleetSuite,
  operatorSuite,
  directEdgeSuite,
  walkSuite,
  corpusSuite,
  placementSuite,
  searchSuite,
];

/** Run of one seed of a suite. */
export interface DigestRun {
  readonly name: string;
  readonly digest: () => string;
}

/** Runs of all suites. */
export const digestRuns: readonly DigestRun[] = suites.flatMap((suite) =>
  suite.seeds.map((seed) => ({ name: runName(suite, seed), digest: () => suite.digest(seed) })),
);
