/** A change of behaviour shows in the digests of recorded runs. `npm run digests` compares all of them. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { directEdgeSuite } from './direct-edge.js';
import { fleetSuite, operatorSuite } from './fleet.js';
import { differingRuns, formatDigests, parseDigests, replayInTests } from './reference.js';

for (const suite of [fleetSuite, operatorSuite, directEdgeSuite])
  void test(`runs of the ${suite.name} suite match their recorded digests`, () => {
    assert.deepEqual(replayInTests(suite), []);
  });

void test('digests that differ, are missing or are new are reported', () => {
  const expected = new Map([
    ['fleet 1', 'aa'],
    ['fleet 2', 'bb'],
    ['fleet 3', 'cc'],
  ]);
  const actual = new Map([
    ['fleet 1', 'aa'],
    ['fleet 2', 'bc'],
    ['fleet 4', 'dd'],
  ]);
  assert.deepEqual(differingRuns(expected, actual), ['fleet 2', 'fleet 3', 'fleet 4']);
  assert.deepEqual(parseDigests(`# header\n${formatDigests(expected)}`), expected);
});
