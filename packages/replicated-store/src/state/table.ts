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

/** The table by key; never changed in place. */
export type Table = ReadonlyMap<string, Entry>;

/** An entry with its key, as it is on a disk. */
export interface KeyedEntry extends Entry {
  readonly key: string;
}

/** In how many ranges keys are compared. */
export const rangeCount = 64;

/** The range that a key belongs to, from 0. */
export const rangeOf = (key: string): number =>
  createHash('sha1').update(key).digest().readUInt8(0) % rangeCount;

/** Whether two stamps are those of one write. */
export const isSameLogPosition = (first: LogPosition, second: LogPosition): boolean =>
  first.epoch === second.epoch && first.seq === second.seq;

/** Whether the first stamp is the newer one: by epoch, then by number. */
export const isNewerLogPosition = (first: LogPosition, second: LogPosition): boolean =>
  first.epoch > second.epoch || (first.epoch === second.epoch && first.seq > second.seq);

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

/** A digest for each range, over keys and stamps; a table never changes, so each is computed once. */
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

/** The keys of a range with their stamps, in the order of the table. */
export const keysInRange = (table: Table, range: number): { key: string; stamp: LogPosition }[] =>
  [...table]
    .filter(([key]) => rangeOf(key) === range)
    .map(([key, entry]) => ({ key, stamp: entry.stamp }));
