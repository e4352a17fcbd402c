/**
 * Requests and responses that edges count for a release rollout, as one primary knows them:
 * cumulative counts by release and class, from which the counts of a recent window are computed.
 */

import {
  type Incarnation,
  type Timestamp,
  type NodeId,
  type Release,
  type Seq,
  withEntry,
  filterEntries,
  toTimestamp,
} from '@switchwheel/types';
import type { FrameOf, ReleaseCountsRow } from '@switchwheel/transport';

/** Counts of one release and class of service: requests sent, and responses by outcome. */
export interface ReleaseCounts {
  readonly sent: number;
  readonly good: number;
  readonly bad: number;
  readonly slow: number;
  readonly sumMs: number;
}
/** Counts that are all 0. */
export const zeroCounts: ReleaseCounts = { sent: 0, good: 0, bad: 0, slow: 0, sumMs: 0 };

/** The reports of one incarnation of an edge, the oldest first. */
interface EdgeReports {
  readonly receivedAt: Timestamp;
  readonly serial: Seq;
  /** Requests in flight at origins of other releases than the target. */
  readonly inFlightOld: number;
  readonly firstReport: CountReport;
  readonly recentReports: readonly CountReport[];
}
interface CountReport {
  readonly receivedAt: Timestamp;
  readonly rows: readonly ReleaseCountsRow[];
}

/** A rollout as one primary observes it: its start by this primary's clock, and the edges' reports. */
export interface RolloutWatch {
  readonly rolloutNumber: Seq;
  readonly startedAt: Timestamp;
  /** Time at which this primary began to collect reports. */
  readonly watchedSince: Timestamp;
  readonly edges: ReadonlyMap<string, EdgeReports>;
}

/** Time after its last report for which an edge counts as live. */
const edgeTimeoutMs = 1000;
const reportRetentionMs = 9000;

/** Begins to collect reports for a rollout that started `elapsedMs` ago. */
export const newRolloutWatch = (
  rolloutNumber: Seq,
  elapsedMs: number,
  now: Timestamp,
): RolloutWatch => ({
  rolloutNumber,
  startedAt: toTimestamp(now - elapsedMs),
  watchedSince: now,
  edges: new Map(),
});

/** Time since the start of a rollout, in milliseconds. */
export const elapsedAt = (watch: RolloutWatch, now: Timestamp): number => now - watch.startedAt;

const edgeKey = (node: NodeId, incarnation: Incarnation): string => `${node} ${incarnation}`;
const totalSentOf = (rows: readonly ReleaseCountsRow[]): number =>
  rows.reduce((sum, row) => sum + row.sent, 0);

/** Records an edge's report. Counts are cumulative, so the next report makes up for a lost one. */
export const recordCounts = (
  watch: RolloutWatch,
  frame: FrameOf<'tally'>,
  now: Timestamp,
): RolloutWatch => {
  if (frame.order !== watch.rolloutNumber) return watch;
  const key = edgeKey(frame.node, frame.incarnation);
  const previous = watch.edges.get(key);
  const earlier = previous?.recentReports ?? [];
  // Frames of one edge may arrive out of order.
  if (totalSentOf(frame.rows) < totalSentOf(earlier.at(-1)?.rows ?? [])) return watch;
  const report: CountReport = { receivedAt: now, rows: frame.rows };
  const firstKept = earlier.findLastIndex(
    ({ receivedAt }) => now - receivedAt >= reportRetentionMs,
  );
  const edge: EdgeReports = {
    receivedAt: now,
    serial: frame.serial,
    inFlightOld: frame.inFlightOld,
    firstReport: previous?.firstReport ?? report,
    recentReports: [...earlier.slice(Math.max(0, firstKept)), report],
  };
  return {
    ...watch,
    startedAt: toTimestamp(Math.min(watch.startedAt, now - frame.spentMs)),
    edges: withEntry(watch.edges, key, edge),
  };
};

/** Whether all live edges have the state `serial` or a newer one and no requests in flight at old origins. */
export const isDrained = (watch: RolloutWatch, serial: Seq, now: Timestamp): boolean => {
  const live = filterEntries(watch.edges, (edge) => now - edge.receivedAt < edgeTimeoutMs);
  return (
    live.size > 0 &&
    [...live.values()].every((edge) => edge.serial >= serial && edge.inFlightOld === 0)
  );
};

/** Counts by release and class. */
export type CountsByRelease = ReadonlyMap<Release, ReadonlyMap<string, ReleaseCounts>>;

const addCounts = (sum: ReleaseCounts, added: ReleaseCounts, sign: 1 | -1): ReleaseCounts => ({
  sent: sum.sent + sign * added.sent,
  good: sum.good + sign * added.good,
  bad: sum.bad + sign * added.bad,
  slow: sum.slow + sign * added.slow,
  sumMs: sum.sumMs + sign * added.sumMs,
});

const addRows = (
  sums: Map<Release, Map<string, ReleaseCounts>>,
  rows: readonly ReleaseCountsRow[],
  sign: 1 | -1,
): void => {
  for (const row of rows) {
    const groups = sums.get(row.release) ?? new Map<string, ReleaseCounts>();
    groups.set(row.group, addCounts(groups.get(row.group) ?? zeroCounts, row, sign));
    sums.set(row.release, groups);
  }
};

/** Counts since the start of the rollout, from the edges that have reported to this primary. */
export const allCounts = (watch: RolloutWatch): CountsByRelease => {
  const sums = new Map<Release, Map<string, ReleaseCounts>>();
  for (const edge of watch.edges.values()) addRows(sums, edge.recentReports.at(-1)?.rows ?? [], 1);
  return sums;
};

/** Counts since a point in time; those of an edge that reported first after it start at its first report. */
export const countsSince = (watch: RolloutWatch, from: Timestamp): CountsByRelease => {
  const sums = new Map<Release, Map<string, ReleaseCounts>>();
  for (const edge of watch.edges.values()) {
    addRows(sums, edge.recentReports.at(-1)?.rows ?? [], 1);
    addRows(
      sums,
      (edge.recentReports.findLast((row) => row.receivedAt <= from) ?? edge.firstReport).rows,
      -1,
    );
  }
  return sums;
};

/** Sum of the counts of all classes. */
export const sumOfClasses = (
  groups: ReadonlyMap<string, ReleaseCounts> | undefined,
): ReleaseCounts =>
  [...(groups?.values() ?? [])].reduce((sum, counts) => addCounts(sum, counts, 1), zeroCounts);

/** Number of requests sent to all releases by all classes. */
export const totalSentIn = (sums: CountsByRelease): number =>
  [...sums.values()].reduce((sum, groups) => sum + sumOfClasses(groups).sent, 0);
