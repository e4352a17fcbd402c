/** Counts the situations that a run reached, so that rules are known to have been exercised. */

import { increment } from '@switchwheel/types';

/** Situations that runs must reach for a passed rule to be meaningful. */
export const coverageGoals = [
  'R1: the response to an unsafe request was lost after execution',
  'R1: an origin crashed while executing an unsafe request',
  'R2: a request was rejected',
  'R2: a request ended with an unknown outcome',
  'R2: a caller disconnected before its response',
  'R3: a buffered response was corrupt',
  'R3: a streamed response was corrupt',
  'R3: a response body was truncated',
  'R3: a response named the wrong instance',
  'R3: a request was executed by several attempts',
  'R4: a primary was lost just after accepting a write',
  'R4: a configuration was accepted while a node was disconnected',
  'R4: two configurations were applied to the same base',
  'R4: an invalid configuration was submitted',
  'R4: a very large configuration was submitted',
  'R5: a node restarted after a newer generation was accepted',
  'R6: the departure of an origin was confirmed',
  'R6: an address was reused by another service',
  'R6: an origin left during a network partition',
  'R7: a purge raced a fetch',
  'R7: a disconnected edge got a request for a cacheable object',
  'R7: a cached response was served',
  'R7: a response was served near the end of its cache lifetime',
  'R8: the budget of extra attempts was exhausted',
  'R8: a service leader was lost just after sending extra attempts',
  'R9: a rate limit delayed requests',
  'R10: a bad release was started',
  'R10: a service leader was lost during a canary',
  'R11: a node was stopped with requests in progress',
  'R11: a service leader was stopped',
  'R12: all processes were killed at once',
  'a service leader resumed past its lease with attempts in progress',
  'a primary resumed past its lease',
  'a primary was lost before it synced a write',
  'a primary was lost while replicating a write',
  'a primary was lost before replying to a write',
  'a store lost its disk after acknowledging a write',
  'a disk was full',
  'a disk was stalled',
  'a voter was replaced',
  'a zone was lost',
  'callers retried immediately',
] as const;
/** Name of one coverage goal. */
export type CoverageGoal = (typeof coverageGoals)[number];

/** Counts how often each coverage goal was met. */
export class Coverage {
  readonly counts = new Map<CoverageGoal, number>();

  record(goal: CoverageGoal, count = 1): void {
    increment(this.counts, goal, count);
  }
}

/** Adds the counts of one run to the totals. */
export const addCounts = (
  totals: Map<CoverageGoal, number>,
  counts: ReadonlyMap<CoverageGoal, number>,
): void => {
  for (const [goal, count] of counts) increment(totals, goal, count);
};

/** Goals that were never met. */
export const unmetGoals = (counts: ReadonlyMap<CoverageGoal, number>): readonly CoverageGoal[] =>
  coverageGoals.filter((goal) => (counts.get(goal) ?? 0) === 0);
