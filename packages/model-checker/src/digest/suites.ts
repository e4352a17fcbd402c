/** Every recorded suite, in the order of the data file. */

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

/** One seed of one suite. */
export interface DigestRun {
  readonly name: string;
  readonly digest: () => string;
}

/** Every run of every suite. */
export const digestRuns: readonly DigestRun[] = suites.flatMap((suite) =>
  suite.seeds.map((seed) => ({ name: runName(suite, seed), digest: () => suite.digest(seed) })),
);
