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

const coverage = new Map<CoverageGoal, number>();

for (const seed of seedRange(10)) {
  void test(`a storm of twenty-five faults of all kinds, seed ${seed}: every rule holds and the fleet serves again`, () => {
    const report = runRandomFaults({
      seed,
      faultCount: 25,
      namePrefixes: [],
      skippedFaults: new Set(),
    });
    addCounts(coverage, report.coverage);
    assert.deepEqual(report.violations, []);
    assert.ok(report.causedFaultNumbers.length === 25 && report.resultCount > 500);
  });
}

/** Storms of a few faults each, for what comes about rarely by chance. */
const faultMixes: readonly (readonly [string, readonly string[]])[] = [
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
for (const [index, [name, faultNames]] of faultMixes.entries()) {
  void test(`a storm of ${name}`, () => {
    for (const seed of [500 + index, 600 + index, 700 + index]) {
      const report = runRandomFaults({
        seed,
        faultCount: 25,
        namePrefixes: faultNames,
        skippedFaults: new Set(),
      });
      addCounts(coverage, report.coverage);
      assert.deepEqual(report.violations, []);
    }
  });
}

/** Runs in which operators race under one number, repeat commands and read back, beside one kind of fault. */
const operatorFaultMixes: readonly (readonly [string, readonly string[]])[] = [
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
const operatorFaults: readonly string[] = ['numbered', 'order a release'];
const historyCoverage = new Map<HistoryCoverageGoal, number>();
for (const [index, [name, faultNames]] of operatorFaultMixes.entries()) {
  void test(`a storm of operators' orders beside ${name}: their history is linearizable`, () => {
    for (const seed of [540 + index, 640 + index, 740 + index]) {
      const report = runRandomFaults({
        seed,
        faultCount: 40,
        namePrefixes: [...operatorFaults, ...faultNames],
        skippedFaults: new Set(),
      });
      for (const [goal, count] of report.historyCoverage) increment(historyCoverage, goal, count);
      assert.deepEqual(report.violations, []);
    }
  });
}

void test('the storms of orders put every point of the history to the test', (context) => {
  for (const goal of historyCoverageGoals)
    context.diagnostic(`${historyCoverage.get(goal) ?? 0}  ${goal}`);
  assert.deepEqual(unmetHistoryGoals(historyCoverage), []);
});

void test('the storms before put every rule to the test', () => {
  assert.deepEqual(unmetGoals(coverage), []);
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
