import { increment } from '@switchwheel/types';
import type { Deployment } from '../deployment/schema.js';
import type { Seen } from '../load/callers.js';

export const rank = (list: readonly number[], share: number): number =>
  list[Math.min(list.length - 1, Math.floor(list.length * share))] ?? 0;

const ms = (value: number): string => value.toFixed(1).padStart(8);

/** One row for each kind of traffic: counts by kind, and times against the aim. */
export const latencyTable = (deployment: Deployment, seen: readonly Seen[]): string => {
  const head = `${'traffic'.padEnd(14)}${'class'.padEnd(12)}${'aim'.padStart(6)}${'p50'.padStart(8)}${'p99'.padStart(8)}${'p99.9'.padStart(8)}${'worst'.padStart(8)}  counts`;
  const rows = deployment.traffic.map((traffic) => {
    const mine = seen.filter((one) => one.traffic.name === traffic.name);
    const good = mine
      .filter((one) => one.kind === 'result')
      .map((one) => one.ms)
      .sort((one, two) => one - two);
    const kinds = new Map<string, number>();
    for (const one of mine) increment(kinds, one.kind);
    return `${traffic.name.padEnd(14)}${traffic.class.padEnd(12)}${String(traffic.aimMs).padStart(6)}${ms(rank(good, 0.5))}${ms(rank(good, 0.99))}${ms(rank(good, 0.999))}${ms(good.at(-1) ?? 0)}  ${[
      ...kinds,
    ]
      .sort()
      .map(([kind, many]) => `${kind} ${many}`)
      .join(', ')}`;
  });
  return [head, ...rows].join('\n');
};

/** Why requests got no result, the most frequent reasons first. */
export const reasonTable = (seen: readonly Seen[]): string => {
  const count = new Map<string, number>();
  for (const one of seen) {
    if (one.kind === 'result') continue;
    const name = `${one.kind}: ${one.why}`;
    increment(count, name);
  }
  return [...count]
    .sort(([, one], [, two]) => two - one)
    .slice(0, 12)
    .map(([name, many]) => `${String(many).padStart(7)}  ${name}`)
    .join('\n');
};

/** One rule, checked over the run from what callers saw and what origins wrote down. */
export interface Verdict {
  readonly rule: string;
  readonly held: boolean;
  readonly text: string;
  /** Whether it hangs on how fast this machine is just now. */
  readonly timed: boolean;
}

export const verdictTable = (list: readonly Verdict[]): string =>
  list.map((one) => `${one.held ? 'held  ' : 'BROKEN'} ${one.rule}: ${one.text}`).join('\n');
