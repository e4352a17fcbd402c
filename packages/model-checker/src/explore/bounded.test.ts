/** Guards the invariants by a search within bounds that fit into CI. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { knownViolations } from '../known-violations.js';
import { printScenario, search } from './search.js';

const bounds = {
  states: 240_000,
  depth: 120,
  faults: 6,
  members: [3, 4, 5],
  seed: 1,
  ignored: knownViolations,
  stopAtFirst: true,
};

void test('no schedule within the bounds violates an invariant', (context) => {
  const report = search(bounds);
  context.diagnostic(
    `${report.states} states, ${report.placements} placements, ${report.walks} random walks, ${report.confirmedWrites} confirmed writes; deviations start within ${bounds.depth} ms, at most ${bounds.faults} in a walk`,
  );
  assert.deepEqual(
    report.found.map((found) => `${found.violation.text}: ${printScenario(found.scenario)}`),
    [],
  );
  assert.ok(report.walks > 20, 'the search did too few random walks');
  assert.ok(report.confirmedWrites > 1000, 'the search confirmed too few writes');
});
