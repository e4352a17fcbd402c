import { increment } from '@switchwheel/types';
import type { Deployment } from '../deployment/schema.js';
import type { RequestRecord } from '../load/load-generator.js';

export const quantile = (sorted: readonly number[], fraction: number): number =>
  sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))] ?? 0;

const formatMs = (value: number): string => value.toFixed(1).padStart(8);

/** One row for each kind of traffic: counts by kind, and times against the aim. */
export const latencyTable = (deployment: Deployment, records: readonly RequestRecord[]): string => {
  const head = `${'traffic'.padEnd(14)}${'class'.padEnd(12)}${'aim'.padStart(6)}${'p50'.padStart(8)}${'p99'.padStart(8)}${'p99.9'.padStart(8)}${'worst'.padStart(8)}  counts`;
  const rows = deployment.traffic.map((traffic) => {
    const mine = records.filter((one) => one.traffic.name === traffic.name);
    const good = mine
      .filter((one) => one.outcome === 'result')
      .map((one) => one.elapsedMs)
      .sort((one, two) => one - two);
    const kinds = new Map<string, number>();
    for (const one of mine) increment(kinds, one.outcome);
    return `${traffic.name.padEnd(14)}${traffic.class.padEnd(12)}${String(traffic.aimMs).padStart(6)}${formatMs(quantile(good, 0.5))}${formatMs(quantile(good, 0.99))}${formatMs(quantile(good, 0.999))}${formatMs(good.at(-1) ?? 0)}  ${[
      ...kinds,
    ]
      .sort()
      .map(([kind, many]) => `${kind} ${many}`)
      .join(', ')}`;
  });
  return [head, ...rows].join('\n');
};

/** Why requests got no result, the most frequent reasons first. */
export const reasonTable = (records: readonly RequestRecord[]): string => {
  const count = new Map<string, number>();
  for (const one of records) {
    if (one.outcome === 'result') continue;
    const name = `${one.outcome}: ${one.reason}`;
    increment(count, name);
  }
  return [...count]
    .sort(([, one], [, two]) => two - one)
    .slice(0, 12)
    .map(([name, many]) => `${String(many).padStart(7)}  ${name}`)
    .join('\n');
};

/** One rule, checked over the run from what callers saw and what origins wrote down. */
export interface RuleResult {
  readonly rule: string;
  readonly isHeld: boolean;
  readonly text: string;
  /** Whether it hangs on how fast this machine is just now. */
  readonly isTimed: boolean;
}

export const ruleResultTable = (results: readonly RuleResult[]): string =>
  results.map((one) => `${one.isHeld ? 'held  ' : 'BROKEN'} ${one.rule}: ${one.text}`).join('\n');
