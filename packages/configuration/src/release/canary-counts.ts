/**
 * What edges count for a release rollout, as one primary has it: cumulative counts by release and
 * class, from which those of any recent span are found. Judging them is not done here.
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

/** Counts of one release and class, over edges: requests sent, and responses by their outcome. */
export interface ReleaseCounts {
  readonly sent: number;
  readonly good: number;
  readonly bad: number;
  readonly slow: number;
  readonly sumMs: number;
}
/** No counts. */
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

/** One rollout as this primary sees it: when it began, by its own clock, and what edges report. */
export interface RolloutWatch {
  /** The number of the rollout. */
  readonly rolloutNumber: Seq;
  readonly startedAt: Timestamp;
  /** When this primary began to watch. */
  readonly watchedSince: Timestamp;
  readonly edges: ReadonlyMap<string, EdgeReports>;
}

/** How long an edge counts as live after its last report. */
const edgeTimeoutMs = 1000;
const reportRetentionMs = 9000;

/** Begins to watch a rollout that began so long ago. */
export const newRolloutWatch = (
  rolloutNumber: Seq,
  spentMs: number,
  now: Timestamp,
): RolloutWatch => ({
  rolloutNumber,
  startedAt: toTimestamp(now - spentMs),
  watchedSince: now,
  edges: new Map(),
});

/** How long a rollout has lasted, in milliseconds. */
export const elapsedAt = (watch: RolloutWatch, now: Timestamp): number => now - watch.startedAt;

const edgeKey = (node: NodeId, incarnation: Incarnation): string => `${node} ${incarnation}`;
const totalSentOf = (rows: readonly ReleaseCountsRow[]): number =>
  rows.reduce((sum, row) => sum + row.sent, 0);

/** Takes an edge's report in. Its counts are cumulative, so a lost report is made up for by the next. */
export const recordCounts = (
  watch: RolloutWatch,
  frame: FrameOf<'tally'>,
  now: Timestamp,
): RolloutWatch => {
  if (frame.order !== watch.rolloutNumber) return watch;
  const key = edgeKey(frame.node, frame.incarnation);
  const known = watch.edges.get(key);
  const earlier = known?.recentReports ?? [];
  // Frames of one edge may overtake each other.
  if (totalSentOf(frame.rows) < totalSentOf(earlier.at(-1)?.rows ?? [])) return watch;
  const report: CountReport = { receivedAt: now, rows: frame.rows };
  const firstKept = earlier.findLastIndex(
    ({ receivedAt }) => now - receivedAt >= reportRetentionMs,
  );
  const edge: EdgeReports = {
    receivedAt: now,
    serial: frame.serial,
    inFlightOld: frame.inFlightOld,
    firstReport: known?.firstReport ?? report,
    recentReports: [...earlier.slice(Math.max(0, firstKept)), report],
  };
  return {
    ...watch,
    startedAt: toTimestamp(Math.min(watch.startedAt, now - frame.spentMs)),
    edges: withEntry(watch.edges, key, edge),
  };
};

/** Whether all live edges act on a state, at least, and have no requests in flight at old origins. */
export const isDrained = (watch: RolloutWatch, serial: Seq, now: Timestamp): boolean => {
  const live = filterEntries(watch.edges, (edge) => now - edge.receivedAt < edgeTimeoutMs);
  return (
    live.size > 0 &&
    [...live.values()].every((edge) => edge.serial >= serial && edge.inFlightOld === 0)
  );
};

/** Counts by release and class. */
export type CountsByRelease = ReadonlyMap<Release, ReadonlyMap<string, ReleaseCounts>>;

const addCounts = (one: ReleaseCounts, two: ReleaseCounts, sign: 1 | -1): ReleaseCounts => ({
  sent: one.sent + sign * two.sent,
  good: one.good + sign * two.good,
  bad: one.bad + sign * two.bad,
  slow: one.slow + sign * two.slow,
  sumMs: one.sumMs + sign * two.sumMs,
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

/** All that was counted since the rollout began, as far as this primary knows. */
export const allCounts = (watch: RolloutWatch): CountsByRelease => {
  const sums = new Map<Release, Map<string, ReleaseCounts>>();
  for (const edge of watch.edges.values()) addRows(sums, edge.recentReports.at(-1)?.rows ?? [], 1);
  return sums;
};

/** What was counted since a time; an edge that is new to this primary counts from its first report. */
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

/** The counts of all classes together. */
export const sumOfClasses = (
  groups: ReadonlyMap<string, ReleaseCounts> | undefined,
): ReleaseCounts =>
  [...(groups?.values() ?? [])].reduce((sum, counts) => addCounts(sum, counts, 1), zeroCounts);

/** The requests of all releases and classes together. */
export const totalSentIn = (sums: CountsByRelease): number =>
  [...sums.values()].reduce((sum, groups) => sum + sumOfClasses(groups).sent, 0);
