/** A search within bounds that fit into CI. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { knownViolations } from '../known-violations.js';
import { printScenario, search } from './search.js';

/** About a quarter of a minute on a machine of its own. */
const bounds = {
  states: 240_000,
  depth: 120,
  faults: 6,
  members: [3, 4, 5],
  seed: 1,
  ignored: knownViolations,
  stopAtFirst: true,
};

void test('no schedule within the bounds breaks an invariant', (context) => {
  const report = search(bounds);
  context.diagnostic(
    `${report.states} states, ${report.placements} placements, ${report.walks} random walks, ${report.confirmedWrites} confirmed writes; deviations within ${bounds.depth} ms, at most ${bounds.faults}`,
  );
  assert.deepEqual(
    report.found.map((one) => `${one.violation.text}: ${printScenario(one.scenario)}`),
    [],
  );
  assert.ok(report.walks > 20, 'random walks had their part');
  assert.ok(report.confirmedWrites > 1000, 'there was something to lose');
});
