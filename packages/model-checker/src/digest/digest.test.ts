/** A few of the recorded searches; all of them are compared by `npm run digests`. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { readReference, replayInTests } from '@switchwheel/simulator/digest';
import { corpusSuite, walkSuite } from './searches.js';
import { digestRuns } from './suites.js';

for (const suite of [walkSuite, corpusSuite])
  void test(`runs of the ${suite.name} suite are the ones that were recorded`, () => {
    assert.deepEqual(replayInTests(suite), []);
  });

void test('every run of every suite has a recorded digest, and nothing else has one', () => {
  assert.deepEqual(
    [...readReference().keys()],
    digestRuns.map((run) => run.name),
  );
});
