/**
 * The replicated table: entries by key, each with the stamp of the write that made it, and the digests by
 * which two copies of it are compared range by range. What the entries mean is the configuration package's business.
 */

import { createHash } from 'node:crypto';
import type { LogPosition, TableMutation } from '@switchwheel/transport';

/** One entry of the replicated table, with the write that made it. */
export interface Entry {
  readonly stamp: LogPosition;
  readonly data: string;
}

export type Table = ReadonlyMap<string, Entry>;

export interface KeyedEntry extends Entry {
  readonly key: string;
}

/** In how many ranges keys are compared. */
export const rangeCount = 64;

export const rangeOf = (key: string): number =>
  createHash('sha1').update(key).digest().readUInt8(0) % rangeCount;

export const isSameStamp = (one: LogPosition, two: LogPosition): boolean =>
  one.epoch === two.epoch && one.seq === two.seq;

/** Which of two stamps is the newer: by epoch, then by number. */
export const isNewerStamp = (one: LogPosition, two: LogPosition): boolean =>
  one.epoch > two.epoch || (one.epoch === two.epoch && one.seq > two.seq);

/** A copy of the table with a write in it. */
export const withPuts = (
  table: Table,
  puts: readonly TableMutation[],
  stamp: LogPosition,
): Table => {
  if (puts.length === 0) return table;
  const copy = new Map(table);
  for (const { key, data } of puts) {
    if (data === null) copy.delete(key);
    else copy.set(key, { stamp, data });
  }
  return copy;
};

const digestCache = new WeakMap<Table, string[]>();

/** A digest for each range, over keys and stamps; a table never changes, so each is reckoned once. */
export const rangeDigests = (table: Table): string[] => {
  const before = digestCache.get(table);
  if (before !== undefined) return before;
  const rows: string[][] = Array.from({ length: rangeCount }, () => []);
  for (const [key, entry] of table)
    rows[rangeOf(key)]?.push(`${key} ${entry.stamp.epoch} ${entry.stamp.seq}`);
  const result = rows.map((row) =>
    createHash('sha256').update(row.sort().join('\n')).digest('hex').slice(0, 16),
  );
  digestCache.set(table, result);
  return result;
};

export const keysInRange = (table: Table, range: number): { key: string; stamp: LogPosition }[] =>
  [...table]
    .filter(([key]) => rangeOf(key) === range)
    .map(([key, entry]) => ({ key, stamp: entry.stamp }));
