/** Random faults of all kinds, from fixed seeds. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { increment } from '@switchwheel/types';
import {
  type HistoryCoverageGoal,
  historyCoverageGoals,
  unmetHistoryGoals,
} from '../history/checker.js';
import { type CoverageGoal, addCounts, unmetGoals } from '../rules/coverage.js';
import { seedRange } from './fixture.js';
import { runRandomFaults } from './random-faults.js';

const tried = new Map<CoverageGoal, number>();

for (const seed of seedRange(10)) {
  void test(`a storm of twenty-five faults of all kinds, seed ${seed}: every rule holds and the fleet serves again`, () => {
    const report = runRandomFaults({
      seed,
      faultCount: 25,
      namePrefixes: [],
      skippedFaults: new Set(),
    });
    addCounts(tried, report.coverage);
    assert.deepEqual(report.violations, []);
    assert.ok(report.injectedFaultNumbers.length === 25 && report.resultCount > 500);
  });
}

/** Storms of a few faults each, for what comes about rarely by chance. */
const narrow: readonly (readonly [string, readonly string[]])[] = [
  [
    'power and disks lost amid writes',
    ['power lost', 'disk lost', 'fill disk', 'stall disk', 'freeze store', 'apply'],
  ],
  ['releases under lost keepers', ['bad release', 'good release', 'kill proxy', 'freeze proxy']],
  ['ailing origins under lost keepers', ['losing origin', 'crash origin', 'kill proxy', 'flood']],
  [
    'origins that leave a core that is cut',
    ['replace origin', 'reuse address', 'isolate machine', 'split core'],
  ],
  ['origins that die at work', ['crash origin', 'slow origin', 'losing origin']],
  ['purges and cuts', ['purge', 'slow origin', 'isolate machine', 'freeze proxy']],
  [
    'places lost and replaced',
    ['lose an area', 'replace a registry', 'kill everything', 'stop all in turn', 'apply'],
  ],
  ['primaries frozen amid writes', ['freeze store', 'apply', 'purge']],
];
for (const [at, [name, only]] of narrow.entries()) {
  void test(`a storm of ${name}`, () => {
    for (const seed of [500 + at, 600 + at, 700 + at]) {
      const report = runRandomFaults({
        seed,
        faultCount: 25,
        namePrefixes: only,
        skippedFaults: new Set(),
      });
      addCounts(tried, report.coverage);
      assert.deepEqual(report.violations, []);
    }
  });
}

/** Runs in which operators race under one number, repeat commands and read back, beside one kind of fault. */
const operatorTrouble: readonly (readonly [string, readonly string[]])[] = [
  [
    'stores that are lost',
    ['kill store', 'freeze store', 'wipe store', 'power lost', 'stall disk'],
  ],
  [
    'registries that are lost',
    ['kill registry', 'freeze registry', 'isolate machine', 'split core'],
  ],
  ['full losses', ['kill everything', 'lose an area', 'fill disk', 'apply', 'purge']],
];
const orders: readonly string[] = ['numbered', 'order a release'];
const historyTried = new Map<HistoryCoverageGoal, number>();
for (const [at, [name, only]] of operatorTrouble.entries()) {
  void test(`a storm of operators' orders beside ${name}: their history is linearizable`, () => {
    for (const seed of [540 + at, 640 + at, 740 + at]) {
      const report = runRandomFaults({
        seed,
        faultCount: 40,
        namePrefixes: [...orders, ...only],
        skippedFaults: new Set(),
      });
      for (const [point, many] of report.historyCoverage) increment(historyTried, point, many);
      assert.deepEqual(report.violations, []);
    }
  });
}

void test('the storms of orders put every point of the history to the test', (t) => {
  for (const point of historyCoverageGoals)
    t.diagnostic(`${historyTried.get(point) ?? 0}  ${point}`);
  assert.deepEqual(unmetHistoryGoals(historyTried), []);
});

void test('the storms before put every rule to the test', () => {
  assert.deepEqual(unmetGoals(tried), []);
});

void test('one seed is one run', () => {
  const traces = [0, 1].map(() => {
    const lines: string[] = [];
    const report = runRandomFaults({
      seed: 77,
      faultCount: 12,
      namePrefixes: [],
      skippedFaults: new Set(),
      trace: (text) => lines.push(text),
    });
    return JSON.stringify([lines, report.messageCount, report.resultCount]);
  });
  assert.equal(traces[0], traces[1]);
});
