/** What the soak command concludes from a report. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type SoakReport, summarizeSoak } from './soak-report.js';

const reportOf = (counts: Partial<SoakReport>): SoakReport => ({
  ruleResults: [
    { rule: 'invariants', isHeld: true, isTimed: false, text: 'none was found broken' },
  ],
  faultCount: 12,
  overlapCount: 3,
  commandCount: 60,
  confirmedCount: 3,
  ...counts,
});

void test('a soak whose rules held and that confirmed enough commands under overlapping faults is passed', () => {
  assert.deepEqual(summarizeSoak(7, reportOf({})), {
    isPassed: true,
    text: 'seed 7: all held; 12 troubles, 3 begun beside another, 3 of 60 orders confirmed',
  });
});

void test('a soak in which too few commands were confirmed is not passed, whatever its rules say', () => {
  for (const confirmedCount of [0, 2]) {
    const summary = summarizeSoak(7, reportOf({ confirmedCount }));
    assert.equal(summary.isPassed, false);
    assert.ok(!summary.text.includes('all held'), summary.text);
    assert.ok(summary.text.includes('BROKEN'), summary.text);
  }
});

void test('a soak in which too few faults overlapped is not passed', () => {
  assert.equal(summarizeSoak(7, reportOf({ overlapCount: 2 })).isPassed, false);
});

void test('a broken rule is named, and a result that depends on the speed of the machine is not', () => {
  const rule = { isHeld: false, text: '' };
  const ruleResults = [
    { ...rule, rule: 'R1 at most once', isTimed: false },
    { ...rule, rule: 'R4 in force within 2 s', isTimed: true },
  ];
  const summary = summarizeSoak(7, reportOf({ ruleResults }));
  assert.equal(summary.isPassed, false);
  assert.ok(summary.text.startsWith('seed 7: BROKEN R1 at most once;'), summary.text);
});
