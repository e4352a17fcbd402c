/** Guards against unintended changes of behaviour, by some of the recorded runs; `npm run digests` compares all. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { readReference, replayInTests } from '@switchwheel/simulator/digest';
import { corpusSuite, walkSuite } from './searches.js';
import { digestRuns } from './suites.js';

for (const suite of [walkSuite, corpusSuite])
  void test(`runs of the ${suite.name} suite equal the recorded ones`, () => {
    assert.deepEqual(replayInTests(suite), []);
  });

void test('the recorded digests are exactly those of the runs of all suites', () => {
  assert.deepEqual(
    [...readReference().keys()],
    digestRuns.map((run) => run.name),
  );
});
