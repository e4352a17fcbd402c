/** The digests that runs are compared with, as they were recorded. */

import { readFileSync, writeFileSync } from 'node:fs';
import type { DigestSuite } from './suite.js';

/** The digest of each seed, by the name of its suite and the seed. */
export type Digests = ReadonlyMap<string, string>;

const referenceFile = new URL('../../fixtures/digests.txt', import.meta.url);
const commentPrefix = '#';

/** Names a run in the file and in what is printed. */
export const runName = (suite: DigestSuite, seed: number): string => `${suite.name} ${seed}`;

/** One run a line, its digest last. */
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

/** Digests as lines of the data file. */
export const formatDigests = (digests: Digests): string =>
  [...digests].map(([name, digest]) => `${name}: ${digest}\n`).join('');

/** The recorded digests. */
export const readReference = (): Digests => parseDigests(readFileSync(referenceFile, 'utf8'));

/** Records digests; the header says which sources they belong to. */
export const writeReference = (digests: Digests, revision: string): void => {
  const header = [
    `${commentPrefix} Digests of deterministic runs, one seed a line.`,
    `${commentPrefix} Recorded with the behaviour of ${revision}. Compare: npm run digests`,
  ];
  writeFileSync(referenceFile, `${header.join('\n')}\n${formatDigests(digests)}`);
};

/** Names of runs that one of the two lacks, or whose digests differ. */
export const differingRuns = (expected: Digests, actual: Digests): readonly string[] =>
  [...new Set([...expected.keys(), ...actual.keys()])].filter(
    (name) => expected.get(name) !== actual.get(name),
  );

/** Replays those seeds of a suite that are replayed with the other tests; names the ones that differ. */
export const replayInTests = (suite: DigestSuite): readonly string[] => {
  const reference = readReference();
  return suite.seeds
    .slice(0, suite.seedsInTests)
    .filter((seed) => reference.get(runName(suite, seed)) !== suite.digest(seed))
    .map((seed) => runName(suite, seed));
};
