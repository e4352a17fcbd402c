/**
 * Replicated table: entries by key, each with the log position of the write that stored it, and digests to compare
 * two copies range by range. The configuration package interprets the entries.
 */

import { createHash } from 'node:crypto';
import type { LogPosition, TableMutation } from '@switchwheel/transport';

/** Entry of the replicated table. Its fields are spread into `resync-entries` frames and keep their names there. */
export interface Entry {
  /** Log position of the write that stored the entry. */
  readonly stamp: LogPosition;
  readonly data: string;
}

/** Entries by key; immutable. */
export type Table = ReadonlyMap<string, Entry>;

/** Entry with its key, as stored on disk. */
export interface KeyedEntry extends Entry {
  readonly key: string;
}

/** Number of ranges into which keys are hashed for comparison. */
export const rangeCount = 64;

/** Range of a key, from 0 to `rangeCount` - 1. */
export const rangeOf = (key: string): number =>
  createHash('sha1').update(key).digest().readUInt8(0) % rangeCount;

/** Whether two log positions are of the same write. */
export const isSameLogPosition = (first: LogPosition, second: LogPosition): boolean =>
  first.epoch === second.epoch && first.seq === second.seq;

/** Whether the first log position is newer than the second, by epoch, then by sequence number. */
export const isNewerLogPosition = (first: LogPosition, second: LogPosition): boolean =>
  first.epoch > second.epoch || (first.epoch === second.epoch && first.seq > second.seq);

/** Copy of the table with a write applied; the table itself if the write is empty. */
export const withPuts = (
  table: Table,
  puts: readonly TableMutation[],
  logPosition: LogPosition,
): Table => {
  if (puts.length === 0) return table;
  const copy = new Map(table);
  for (const { key, data } of puts) {
    if (data === null) copy.delete(key);
    else copy.set(key, { stamp: logPosition, data });
  }
  return copy;
};

const digestCache = new WeakMap<Table, string[]>();

/** Digest of each range over keys and log positions, computed once per table. */
export const rangeDigests = (table: Table): string[] => {
  const cached = digestCache.get(table);
  if (cached !== undefined) return cached;
  const rows: string[][] = Array.from({ length: rangeCount }, () => []);
  for (const [key, entry] of table)
    rows[rangeOf(key)]?.push(`${key} ${entry.stamp.epoch} ${entry.stamp.seq}`);
  const digests = rows.map((row) =>
    createHash('sha256').update(row.sort().join('\n')).digest('hex').slice(0, 16),
  );
  digestCache.set(table, digests);
  return digests;
};

/** Keys of a range with their log positions, in table order, in the form of a `range-listing` frame. */
export const keysInRange = (table: Table, range: number): { key: string; stamp: LogPosition }[] =>
  [...table]
    .filter(([key]) => rangeOf(key) === range)
    .map(([key, entry]) => ({ key, stamp: entry.stamp }));
