/** What a run prints: latencies, reasons of failures, and which rules held. */

import { increment } from '@switchwheel/types';
import type { Deployment, Traffic } from '../deployment/schema.js';
import type { RequestRecord } from '../load/request-record.js';

/** The value below which a fraction of a sorted list lies; 0 for an empty list. */
export const quantile = (sorted: readonly number[], fraction: number): number =>
  sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))] ?? 0;

const latencyQuantiles = [0.5, 0.99, 0.999];
const maxReasons = 12;

const formatMs = (value: number): string => value.toFixed(1).padStart(8);

const latencyRow = (traffic: Traffic, records: readonly RequestRecord[]): string => {
  const ofTraffic = records.filter((record) => record.traffic.name === traffic.name);
  const latencies = ofTraffic
    .filter((record) => record.outcome === 'result')
    .map((record) => record.elapsedMs)
    .sort((one, two) => one - two);
  const counts = new Map<string, number>();
  for (const record of ofTraffic) increment(counts, record.outcome);
  return [
    traffic.name.padEnd(14),
    traffic.class.padEnd(12),
    String(traffic.aimMs).padStart(6),
    ...latencyQuantiles.map((fraction) => formatMs(quantile(latencies, fraction))),
    formatMs(latencies.at(-1) ?? 0),
    '  ',
    [...counts]
      .sort()
      .map(([outcome, count]) => `${outcome} ${count}`)
      .join(', '),
  ].join('');
};

/** One row for each kind of traffic: counts by outcome, and latencies against the target. */
export const latencyTable = (deployment: Deployment, records: readonly RequestRecord[]): string => {
  const head = `${'traffic'.padEnd(14)}${'class'.padEnd(12)}${'aim'.padStart(6)}${'p50'.padStart(8)}${'p99'.padStart(8)}${'p99.9'.padStart(8)}${'worst'.padStart(8)}  counts`;
  const rows = deployment.traffic.map((traffic) => latencyRow(traffic, records));
  return [head, ...rows].join('\n');
};

/** Why requests got no result, the most frequent reasons first. */
export const reasonTable = (records: readonly RequestRecord[]): string => {
  const counts = new Map<string, number>();
  for (const { outcome, reason } of records)
    if (outcome !== 'result') increment(counts, `${outcome}: ${reason}`);
  return [...counts]
    .sort(([, one], [, two]) => two - one)
    .slice(0, maxReasons)
    .map(([reason, count]) => `${String(count).padStart(7)}  ${reason}`)
    .join('\n');
};

/** Whether one rule held over a run, by what clients saw and what origins recorded. */
export interface RuleResult {
  readonly rule: string;
  readonly isHeld: boolean;
  readonly text: string;
  /** Whether it depends on how fast this machine is just now. */
  readonly isTimed: boolean;
}

/** A result that does not depend on the speed of this machine. */
export const untimedResult = (rule: string, isHeld: boolean, text: string): RuleResult => ({
  rule,
  isHeld,
  text,
  isTimed: false,
});

/** One line for each rule. */
export const ruleResultTable = (results: readonly RuleResult[]): string =>
  results
    .map(({ isHeld, rule, text }) => `${isHeld ? 'held  ' : 'BROKEN'} ${rule}: ${text}`)
    .join('\n');
