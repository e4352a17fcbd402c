/**
 * Counts what a run brought about, so that rules that hold are known to have been put to the test.
 */

import { increment } from '@switchwheel/types';

/** What a run must have done for its verdict on each rule to mean anything. */
export const coverageGoals = [
  'R1: an unsafe result was lost after the work',
  'R1: an origin died with an unsafe request in hand',
  'R2: a request was told as refused',
  'R2: a request was told as unknown',
  'R2: a caller left before its result',
  'R3: a whole result was corrupt',
  'R3: a streamed result was corrupt',
  'R3: a result was cut amid its body',
  'R3: a result bore a wrong name',
  'R3: two legs ran for one request',
  'R4: a primary was lost just after it accepted',
  'R4: accepted while a node was out of reach',
  'R4: two descriptions collided',
  'R4: an invalid description came',
  'R4: a huge description came',
  'R5: a node started again under a newer generation',
  'R6: an origin that leaves was known',
  'R6: an address was taken by another service',
  'R6: an origin left while the core was cut',
  'R7: a purge raced a fetch',
  'R7: an edge out of reach was asked for what it may have kept',
  'R7: a kept result was told',
  'R7: a kept result came to its end',
  'R8: the budget of extra legs was used up',
  'R8: a keeper was lost with extra legs just sent',
  'R9: a ceiling held requests back',
  'R10: a bad release came',
  'R10: a keeper was lost during a trial',
  'R11: a node was stopped with requests open',
  'R11: a keeper was stopped',
  'R12: everything was killed',
  'a keeper woke past its lease with legs open',
  'a primary woke past its lease',
  'a write was cut before its sync',
  'a write was cut between the two disks',
  'a write was cut before its answer',
  'a store lost its disk after confirming',
  'a disk was full',
  'a disk was stalled',
  'a voter was replaced',
  'an area was lost',
  'callers asked again at once',
] as const;
/** The name of one goal. */
export type CoverageGoal = (typeof coverageGoals)[number];

/** Counts how often each rule was truly put to the test. */
export class Coverage {
  readonly counts = new Map<CoverageGoal, number>();

  record(goal: CoverageGoal, count = 1): void {
    increment(this.counts, goal, count);
  }
}

/** Adds the counts of one run to those of several. */
export const addCounts = (
  totals: Map<CoverageGoal, number>,
  counts: ReadonlyMap<CoverageGoal, number>,
): void => {
  for (const [goal, count] of counts) increment(totals, goal, count);
};

/** Those that never came about. */
export const unmetGoals = (counts: ReadonlyMap<CoverageGoal, number>): readonly CoverageGoal[] =>
  coverageGoals.filter((goal) => (counts.get(goal) ?? 0) === 0);
