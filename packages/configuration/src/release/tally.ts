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
import type { FrameOf, TallyRow } from '@switchwheel/transport';

/** Counts of one release and class, over edges. */
export interface Counts {
  readonly sent: number;
  readonly good: number;
  readonly bad: number;
  readonly slow: number;
  readonly sumMs: number;
}
export const noCounts: Counts = { sent: 0, good: 0, bad: 0, slow: 0, sumMs: 0 };

/** What one life of an edge told, with what it told before, the oldest first. */
interface Edge {
  readonly at: Timestamp;
  readonly serial: Seq;
  readonly inFlightOld: number;
  readonly first: Told;
  readonly recent: readonly Told[];
}
interface Told {
  readonly at: Timestamp;
  readonly rows: readonly TallyRow[];
}

/** A primary's own view of one order: when it began by the primary's clock, and what edges count. */
export interface Watch {
  readonly order: Seq;
  readonly since: Timestamp;
  /** When this primary began to watch. */
  readonly opened: Timestamp;
  readonly edges: ReadonlyMap<string, Edge>;
}

/** How long an edge counts as in touch after its last tally. */
const nearSpan = 1000;
const keptSpan = 9000;

export const watch = (order: Seq, spentMs: number, now: Timestamp): Watch => ({
  order,
  since: toTimestamp(now - spentMs),
  opened: now,
  edges: new Map(),
});

export const spentAt = (one: Watch, now: Timestamp): number => now - one.since;

const keyOf = (node: NodeId, incarnation: Incarnation): string => `${node} ${incarnation}`;
const sentOf = (rows: readonly TallyRow[]): number => rows.reduce((sum, one) => sum + one.sent, 0);

/** Takes an edge's counts in. They are of its whole life, so a lost one is made good by the next. */
export const takeTally = (one: Watch, word: FrameOf<'tally'>, now: Timestamp): Watch => {
  if (word.order !== one.order) return one;
  const key = keyOf(word.node, word.incarnation);
  const known = one.edges.get(key);
  const told: Told = { at: now, rows: word.rows };
  // Frames of one edge may overtake each other.
  if (known !== undefined && sentOf(word.rows) < sentOf(known.recent.at(-1)?.rows ?? []))
    return one;
  const old = known?.recent ?? [];
  const cut = old.findLastIndex((row) => now - row.at >= keptSpan);
  const recent = [...(cut > 0 ? old.slice(cut) : old), told];
  const edge: Edge = {
    at: now,
    serial: word.serial,
    inFlightOld: word.inFlightOld,
    first: known?.first ?? told,
    recent,
  };
  return {
    ...one,
    since: toTimestamp(Math.min(one.since, now - word.spentMs)),
    edges: withEntry(one.edges, key, edge),
  };
};

/** Whether all edges in touch act on a state and have nothing under way at old origins. */
export const drained = (one: Watch, serial: Seq, now: Timestamp): boolean => {
  const near = filterEntries(one.edges, (edge) => now - edge.at < nearSpan);
  return (
    near.size > 0 &&
    [...near.values()].every((edge) => edge.serial >= serial && edge.inFlightOld === 0)
  );
};

/** Counts by release and class. */
export type Sums = ReadonlyMap<Release, ReadonlyMap<string, Counts>>;

const add = (one: Counts, two: Counts, sign: 1 | -1): Counts => ({
  sent: one.sent + sign * two.sent,
  good: one.good + sign * two.good,
  bad: one.bad + sign * two.bad,
  slow: one.slow + sign * two.slow,
  sumMs: one.sumMs + sign * two.sumMs,
});

const addRows = (
  sums: Map<Release, Map<string, Counts>>,
  rows: readonly TallyRow[],
  sign: 1 | -1,
): void => {
  for (const row of rows) {
    const groups = sums.get(row.release) ?? new Map<string, Counts>();
    groups.set(row.group, add(groups.get(row.group) ?? noCounts, row, sign));
    sums.set(row.release, groups);
  }
};

/** All that was counted since the order, as far as it was told to this primary. */
export const sumAll = (one: Watch): Sums => {
  const sums = new Map<Release, Map<string, Counts>>();
  for (const edge of one.edges.values()) addRows(sums, edge.recent.at(-1)?.rows ?? [], 1);
  return sums;
};

/** What was counted within the last span; an edge new to this primary counts from its first word. */
export const sumSince = (one: Watch, from: Timestamp): Sums => {
  const sums = new Map<Release, Map<string, Counts>>();
  for (const edge of one.edges.values()) {
    addRows(sums, edge.recent.at(-1)?.rows ?? [], 1);
    addRows(sums, (edge.recent.findLast((row) => row.at <= from) ?? edge.first).rows, -1);
  }
  return sums;
};

export const totalOf = (groups: ReadonlyMap<string, Counts> | undefined): Counts =>
  [...(groups?.values() ?? [])].reduce((sum, one) => add(sum, one, 1), noCounts);

export const sentIn = (sums: Sums): number =>
  [...sums.values()].reduce((sum, groups) => sum + totalOf(groups).sent, 0);
