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

/** Counts of one release and class, over edges. */
export interface ReleaseCounts {
  readonly sent: number;
  readonly good: number;
  readonly bad: number;
  readonly slow: number;
  readonly sumMs: number;
}
export const zeroCounts: ReleaseCounts = { sent: 0, good: 0, bad: 0, slow: 0, sumMs: 0 };

/** What one life of an edge told, with what it told before, the oldest first. */
interface EdgeReports {
  readonly receivedAt: Timestamp;
  readonly serial: Seq;
  readonly inFlightOld: number;
  readonly firstReport: CountReport;
  readonly recentReports: readonly CountReport[];
}
interface CountReport {
  readonly receivedAt: Timestamp;
  readonly rows: readonly ReleaseCountsRow[];
}

/** A primary's own view of one order: when it began by the primary's clock, and what edges count. */
export interface RolloutWatch {
  readonly order: Seq;
  readonly startedAt: Timestamp;
  /** When this primary began to watch. */
  readonly watchedSince: Timestamp;
  readonly edges: ReadonlyMap<string, EdgeReports>;
}

/** How long an edge counts as in touch after its last tally. */
const edgeTimeoutMs = 1000;
const reportRetentionMs = 9000;

export const newRolloutWatch = (order: Seq, spentMs: number, now: Timestamp): RolloutWatch => ({
  order,
  startedAt: toTimestamp(now - spentMs),
  watchedSince: now,
  edges: new Map(),
});

export const elapsedAt = (one: RolloutWatch, now: Timestamp): number => now - one.startedAt;

const edgeKey = (node: NodeId, incarnation: Incarnation): string => `${node} ${incarnation}`;
const totalSentOf = (rows: readonly ReleaseCountsRow[]): number =>
  rows.reduce((sum, one) => sum + one.sent, 0);

/** Takes an edge's counts in. They are of its whole life, so a lost one is made good by the next. */
export const recordCounts = (
  one: RolloutWatch,
  word: FrameOf<'tally'>,
  now: Timestamp,
): RolloutWatch => {
  if (word.order !== one.order) return one;
  const key = edgeKey(word.node, word.incarnation);
  const known = one.edges.get(key);
  const told: CountReport = { receivedAt: now, rows: word.rows };
  // Frames of one edge may overtake each other.
  if (
    known !== undefined &&
    totalSentOf(word.rows) < totalSentOf(known.recentReports.at(-1)?.rows ?? [])
  )
    return one;
  const old = known?.recentReports ?? [];
  const cut = old.findLastIndex((row) => now - row.receivedAt >= reportRetentionMs);
  const recent = [...(cut > 0 ? old.slice(cut) : old), told];
  const edge: EdgeReports = {
    receivedAt: now,
    serial: word.serial,
    inFlightOld: word.inFlightOld,
    firstReport: known?.firstReport ?? told,
    recentReports: recent,
  };
  return {
    ...one,
    startedAt: toTimestamp(Math.min(one.startedAt, now - word.spentMs)),
    edges: withEntry(one.edges, key, edge),
  };
};

/** Whether all edges in touch act on a state and have nothing under way at old origins. */
export const isDrained = (one: RolloutWatch, serial: Seq, now: Timestamp): boolean => {
  const near = filterEntries(one.edges, (edge) => now - edge.receivedAt < edgeTimeoutMs);
  return (
    near.size > 0 &&
    [...near.values()].every((edge) => edge.serial >= serial && edge.inFlightOld === 0)
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

/** All that was counted since the order, as far as it was told to this primary. */
export const allCounts = (one: RolloutWatch): CountsByRelease => {
  const sums = new Map<Release, Map<string, ReleaseCounts>>();
  for (const edge of one.edges.values()) addRows(sums, edge.recentReports.at(-1)?.rows ?? [], 1);
  return sums;
};

/** What was counted within the last span; an edge new to this primary counts from its first word. */
export const countsSince = (one: RolloutWatch, from: Timestamp): CountsByRelease => {
  const sums = new Map<Release, Map<string, ReleaseCounts>>();
  for (const edge of one.edges.values()) {
    addRows(sums, edge.recentReports.at(-1)?.rows ?? [], 1);
    addRows(
      sums,
      (edge.recentReports.findLast((row) => row.receivedAt <= from) ?? edge.firstReport).rows,
      -1,
    );
  }
  return sums;
};

export const sumOfClasses = (
  groups: ReadonlyMap<string, ReleaseCounts> | undefined,
): ReleaseCounts =>
  [...(groups?.values() ?? [])].reduce((sum, one) => addCounts(sum, one, 1), zeroCounts);

export const totalSentIn = (sums: CountsByRelease): number =>
  [...sums.values()].reduce((sum, groups) => sum + sumOfClasses(groups).sent, 0);
