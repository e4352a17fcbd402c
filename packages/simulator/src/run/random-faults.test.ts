/** Random fault injection with fixed seeds: every rule must hold, and every rule must be exercised. */

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

for (const seed of seedRange(13)) {
  void test(`every rule holds and the fleet recovers from twenty-five random faults of all kinds, seed ${seed}`, () => {
    const report = runRandomFaults({
      seed,
      faultCount: 25,
      namePrefixes: [],
      skippedFaults: new Set(),
    });
    addCounts(coverage, report.coverage);
    assert.deepEqual(report.violations, []);
    assert.ok(report.injectedFaultNumbers.length === 25 && report.resultCount > 500);
  });
}

/** Sets of few fault kinds each, for combinations that are rare among faults of all kinds. */
const faultMixes: readonly (readonly [string, readonly string[]])[] = [
  [
    'power and disk losses during writes',
    ['power lost', 'disk lost', 'fill disk', 'stall disk', 'freeze store', 'apply'],
  ],
  [
    'releases and lost service leaders',
    ['bad release', 'good release', 'kill proxy', 'freeze proxy'],
  ],
  [
    'failing origins and lost service leaders',
    ['losing origin', 'crash origin', 'kill proxy', 'flood'],
  ],
  [
    'origin departures during network partitions',
    ['replace origin', 'reuse address', 'isolate machine', 'split core'],
  ],
  ['origins that crash during requests', ['crash origin', 'slow origin', 'losing origin']],
  ['purges and network partitions', ['purge', 'slow origin', 'isolate machine', 'freeze proxy']],
  [
    'lost zones and replaced registries',
    ['lose an area', 'replace a registry', 'kill everything', 'stop all in turn', 'apply'],
  ],
  ['primaries frozen during writes', ['freeze store', 'apply', 'purge']],
];
for (const [index, [name, faultNames]] of faultMixes.entries()) {
  void test(`every rule holds under random faults: ${name}`, () => {
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

/** Fault kinds combined with concurrent, repeated and read commands of operators. */
const operatorFaultMixes: readonly (readonly [string, readonly string[]])[] = [
  ['lost stores', ['kill store', 'freeze store', 'wipe store', 'power lost', 'stall disk']],
  ['lost registries', ['kill registry', 'freeze registry', 'isolate machine', 'split core']],
  ['full restarts', ['kill everything', 'lose an area', 'fill disk', 'apply', 'purge']],
];
const operatorFaults: readonly string[] = ['numbered', 'order a release'];
const historyCoverage = new Map<HistoryCoverageGoal, number>();
for (const [index, [name, faultNames]] of operatorFaultMixes.entries()) {
  void test(`the history of operators' commands is linearizable under random faults: ${name}`, () => {
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

void test('the runs with commands of operators reach every coverage goal of the history checker', (context) => {
  for (const goal of historyCoverageGoals)
    context.diagnostic(`${historyCoverage.get(goal) ?? 0}  ${goal}`);
  assert.deepEqual(unmetHistoryGoals(historyCoverage), []);
});

void test('the runs with random faults reach every coverage goal of the rules', () => {
  assert.deepEqual(unmetGoals(coverage), []);
});

void test('runs with the same seed are identical', () => {
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
