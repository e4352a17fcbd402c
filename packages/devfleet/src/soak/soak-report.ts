/** Result of a soak and its one-line summary. */

import type { RuleResult } from '../report/report.js';

/** Result of one seed of a soak. */
export interface SoakReport {
  readonly ruleResults: readonly RuleResult[];
  /** Number of injected faults. */
  readonly faultCount: number;
  /** Number of faults that began while another one was active. */
  readonly overlapCount: number;
  /** Number of configuration changes that operators submitted. */
  readonly commandCount: number;
  /** Number of those that were confirmed at least once. */
  readonly confirmedCount: number;
}

/** Minimum activity; a run below it does not pass, as its rules were hardly exercised. */
const minOverlaps = 3;
const minConfirmedCommands = 3;

/** Checks that a run had enough overlapping faults and confirmed commands to exercise the other rules. */
export const checkActivity = (
  report: Pick<SoakReport, 'overlapCount' | 'confirmedCount'>,
): RuleResult => ({
  rule: `at least ${minOverlaps} overlapping faults and ${minConfirmedCommands} confirmed commands`,
  isHeld: report.overlapCount >= minOverlaps && report.confirmedCount >= minConfirmedCommands,
  text: `${report.overlapCount} overlapping faults, ${report.confirmedCount} confirmed commands`,
  isTimed: false,
});

/** Verdict on a soak, with the line that is printed for it. */
export interface SoakSummary {
  readonly isPassed: boolean;
  readonly text: string;
}

/** Summarizes the report of one seed; results that depend on the speed of this machine are ignored. */
export const summarizeSoak = (seed: number, report: SoakReport): SoakSummary => {
  const { ruleResults, faultCount, overlapCount, commandCount, confirmedCount } = report;
  const results = [...ruleResults, checkActivity(report)];
  const broken = results.filter((result) => !result.isHeld && !result.isTimed);
  const isPassed = broken.length === 0;
  const verdict = isPassed
    ? 'all held'
    : `BROKEN ${broken.map((result) => result.rule).join(', ')}`;
  return {
    isPassed,
    text: `seed ${seed}: ${verdict}; ${faultCount} faults, ${overlapCount} of them overlapping, ${confirmedCount} of ${commandCount} commands confirmed`,
  };
};
