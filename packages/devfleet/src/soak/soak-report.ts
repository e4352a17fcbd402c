/**
 * What a soak came to, and the sentence that the command prints for it. Playing the soak is left to `soak.ts`.
 */

import type { RuleResult } from '../report/report.js';

/** The outcome of one seed of a soak. */
export interface SoakReport {
  readonly ruleResults: readonly RuleResult[];
  /** How many faults were injected. */
  readonly faultCount: number;
  /** How many of the faults began while another one was active. */
  readonly overlapCount: number;
  /** How many configuration changes the operators submitted. */
  readonly commandCount: number;
  /** How many of these were confirmed at least once. */
  readonly confirmedCount: number;
}

/** A run in which less happened than this proves nothing, so it is not passed. */
const minOverlaps = 3;
const minConfirmedCommands = 3;

/** Checks that enough happened in a run for its other rules to mean something. */
export const checkActivity = (
  report: Pick<SoakReport, 'overlapCount' | 'confirmedCount'>,
): RuleResult => ({
  rule: `at least ${minOverlaps} overlapping faults and ${minConfirmedCommands} confirmed orders`,
  isHeld: report.overlapCount >= minOverlaps && report.confirmedCount >= minConfirmedCommands,
  text: `${report.overlapCount} overlapping, ${report.confirmedCount} confirmed`,
  isTimed: false,
});

/** Whether a soak is passed, and the line that says so. */
export interface SoakSummary {
  readonly isPassed: boolean;
  readonly text: string;
}

/** Judges the report of one seed; results that depend on the speed of this machine do not count. */
export const summarizeSoak = (seed: number, report: SoakReport): SoakSummary => {
  const { ruleResults, faultCount, overlapCount, commandCount, confirmedCount } = report;
  const results = [...ruleResults, checkActivity(report)];
  const broken = results.filter((result) => !result.isHeld && !result.isTimed);
  const isPassed = broken.length === 0;
  const judgement = isPassed
    ? 'all held'
    : `BROKEN ${broken.map((result) => result.rule).join(', ')}`;
  return {
    isPassed,
    text: `seed ${seed}: ${judgement}; ${faultCount} troubles, ${overlapCount} begun beside another, ${confirmedCount} of ${commandCount} orders confirmed`,
  };
};
