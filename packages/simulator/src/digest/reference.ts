/** The recorded digests that runs are compared with. */

import { readFileSync, writeFileSync } from 'node:fs';
import type { DigestSuite } from './suite.js';

/** Digests by run name. */
export type Digests = ReadonlyMap<string, string>;

const referenceFile = new URL('../../fixtures/digests.txt', import.meta.url);
const commentPrefix = '#';

/** Name of a run in the data file and in output. */
export const runName = (suite: DigestSuite, seed: number): string => `${suite.name} ${seed}`;

/** Parses the data file: one run per line, its digest last. */
export const parseDigests = (text: string): Digests =>
  new Map(
    text
      .split('\n')
      .filter((line) => line !== '' && !line.startsWith(commentPrefix))
      .map((line) => splitLine(line)),
  );

const splitLine = (line: string): readonly [string, string] => {
  const end = line.lastIndexOf(': ');
  return [line.slice(0, end), line.slice(end + 2)];
};

/** Formats digests as lines of the data file. */
export const formatDigests = (digests: Digests): string =>
  [...digests].map(([name, digest]) => `${name}: ${digest}\n`).join('');

/** Reads the recorded digests. */
export const readReference = (): Digests => parseDigests(readFileSync(referenceFile, 'utf8'));

/** Writes the data file; `revision` names the sources that the digests belong to. */
export const writeReference = (digests: Digests, revision: string): void => {
  const header = [
    `${commentPrefix} Digests of deterministic runs, one seed a line.`,
    `${commentPrefix} Recorded with the behaviour of ${revision}. Compare: npm run digests`,
  ];
  writeFileSync(referenceFile, `${header.join('\n')}\n${formatDigests(digests)}`);
};

/** Names of runs whose digests differ or exist on one side only. */
export const differingRuns = (expected: Digests, actual: Digests): readonly string[] =>
  [...new Set([...expected.keys(), ...actual.keys()])].filter(
    (name) => expected.get(name) !== actual.get(name),
  );

/** Replays the seeds of a suite that belong to the tests; returns the names of runs that differ. */
export const replayInTests = (suite: DigestSuite): readonly string[] => {
  const reference = readReference();
  return suite.seeds
    .slice(0, suite.seedsInTests)
    .filter((seed) => reference.get(runName(suite, seed)) !== suite.digest(seed))
    .map((seed) => runName(suite, seed));
};
