/** Guards against a soak that passes with a broken rule or without enough activity. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type SoakReport, summarizeSoak } from './soak-report.js';

const reportOf = (counts: Partial<SoakReport>): SoakReport => ({
  ruleResults: [
    { rule: 'invariants', isHeld: true, isTimed: false, text: 'no violation was logged' },
  ],
  faultCount: 12,
  overlapCount: 3,
  commandCount: 60,
  confirmedCount: 3,
  ...counts,
});

void test('a soak passes if all rules held, faults overlapped and enough commands were confirmed', () => {
  assert.deepEqual(summarizeSoak(7, reportOf({})), {
    isPassed: true,
    text: 'seed 7: all held; 12 faults, 3 of them overlapping, 3 of 60 commands confirmed',
  });
});

void test('a soak with too few confirmed commands fails even if all rules held', () => {
  for (const confirmedCount of [0, 2]) {
    const summary = summarizeSoak(7, reportOf({ confirmedCount }));
    assert.equal(summary.isPassed, false);
    assert.ok(!summary.text.includes('all held'), summary.text);
    assert.ok(summary.text.includes('BROKEN'), summary.text);
  }
});

void test('a soak with too few overlapping faults fails', () => {
  assert.equal(summarizeSoak(7, reportOf({ overlapCount: 2 })).isPassed, false);
});

void test('the summary names broken rules, but ignores results that depend on the speed of the machine', () => {
  const rule = { isHeld: false, text: '' };
  const ruleResults = [
    { ...rule, rule: 'R1 unsafe requests run at most once', isTimed: false },
    { ...rule, rule: 'R4 configuration in force within 2 s', isTimed: true },
  ];
  const summary = summarizeSoak(7, reportOf({ ruleResults }));
  assert.equal(summary.isPassed, false);
  assert.ok(
    summary.text.startsWith('seed 7: BROKEN R1 unsafe requests run at most once;'),
    summary.text,
  );
});
