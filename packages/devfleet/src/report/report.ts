/** Report of a run: latencies, failure reasons and rule results. */

import { increment } from '@switchwheel/types';
import type { Deployment, Traffic } from '../deployment/schema.js';
import type { RequestRecord } from '../load/request-record.js';

/** Returns a quantile of a sorted list; 0 for an empty list. */
export const quantile = (sorted: readonly number[], fraction: number): number =>
  sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))] ?? 0;

const latencyQuantiles = [0.5, 0.99, 0.999];
const maxReasons = 12;

const formatMs = (value: number): string => value.toFixed(1).padStart(8);

const latencyRow = (traffic: Traffic, records: readonly RequestRecord[]): string => {
  const trafficRecords = records.filter((record) => record.traffic.name === traffic.name);
  const latencies = trafficRecords
    .filter((record) => record.outcome === 'result')
    .map((record) => record.elapsedMs)
    .sort((left, right) => left - right);
  const counts = new Map<string, number>();
  for (const record of trafficRecords) increment(counts, record.outcome);
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

/** Formats a row for each kind of traffic: target latency, latencies of results, and counts by outcome. */
export const latencyTable = (deployment: Deployment, records: readonly RequestRecord[]): string => {
  const header = `${'traffic'.padEnd(14)}${'class'.padEnd(12)}${'target'.padStart(6)}${'p50'.padStart(8)}${'p99'.padStart(8)}${'p99.9'.padStart(8)}${'max'.padStart(8)}  counts`;
  const rows = deployment.traffic.map((traffic) => latencyRow(traffic, records));
  return [header, ...rows].join('\n');
};

/** Formats the reasons for requests without a result, the most frequent first. */
export const reasonTable = (records: readonly RequestRecord[]): string => {
  const counts = new Map<string, number>();
  for (const { outcome, reason } of records)
    if (outcome !== 'result') increment(counts, `${outcome}: ${reason}`);
  return [...counts]
    .sort(([, left], [, right]) => right - left)
    .slice(0, maxReasons)
    .map(([reason, count]) => `${String(count).padStart(7)}  ${reason}`)
    .join('\n');
};

/** Result of checking one rule over a run. */
export interface RuleResult {
  readonly rule: string;
  readonly isHeld: boolean;
  readonly text: string;
  /** Whether the result depends on the speed of this machine. */
  readonly isTimed: boolean;
}

/** Creates a result that does not depend on the speed of this machine. */
export const untimedResult = (rule: string, isHeld: boolean, text: string): RuleResult => ({
  rule,
  isHeld,
  text,
  isTimed: false,
});

/** Formats a line for each rule. */
export const ruleResultTable = (results: readonly RuleResult[]): string =>
  results
    .map(({ isHeld, rule, text }) => `${isHeld ? 'held  ' : 'BROKEN'} ${rule}: ${text}`)
    .join('\n');
