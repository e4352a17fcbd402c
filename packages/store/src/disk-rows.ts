/**
 * The rows of a store's data folder: one header row with the cluster metadata and the stamp of the last write, and one
 * row for each entry of the table. The form is that of every folder in use and must stay readable.
 */

import * as v from 'valibot';
import {
  clusterMetadata as metadataSchema,
  logPosition as stampSchema,
} from '@switchwheel/transport';
import type { Disk, StoredRow } from '@switchwheel/runtime';
import type { DiskWrite, DiskContents, KeyedEntry } from '@switchwheel/replicated-store';

const headerKey = '!head';
const headerSchema = v.object({
  format: v.literal(1),
  metadata: metadataSchema,
  stamp: stampSchema,
});

const entryRow = (entry: KeyedEntry): StoredRow => ({
  key: `=${entry.key}`,
  text: `${entry.stamp.epoch} ${entry.stamp.seq} ${entry.data}`,
});

const readRow = (row: StoredRow): KeyedEntry | undefined => {
  const [epoch, seq] = row.text.split(' ', 2);
  const read = v.safeParse(stampSchema, { epoch: Number(epoch), seq: Number(seq) });
  if (!row.key.startsWith('=') || !read.success) return undefined;
  return {
    key: row.key.slice(1),
    stamp: read.output,
    data: row.text.slice(`${epoch ?? ''} ${seq ?? ''} `.length),
  };
};

/** What a data folder holds: nothing, a complete state, or something that can't be trusted. */
export const readDisk = (disk: Disk): DiskContents => {
  if (disk.quarantineReason !== undefined)
    return { status: 'damaged', reason: disk.quarantineReason };
  const read = disk.read();
  if (read.isErr) return { status: 'damaged', reason: read.error };
  if (read.value.length === 0) return { status: 'empty' };
  const headerRow = read.value.find((row) => row.key === headerKey);
  if (headerRow === undefined) return { status: 'damaged', reason: 'the head is missing' };
  let header: v.InferOutput<typeof headerSchema>;
  try {
    header = v.parse(headerSchema, JSON.parse(headerRow.text));
  } catch {
    return { status: 'damaged', reason: 'the head can not be read' };
  }
  const entries: KeyedEntry[] = [];
  for (const row of read.value) {
    if (row.key === headerKey) continue;
    const entry = readRow(row);
    if (entry === undefined)
      return { status: 'damaged', reason: `the entry ${row.key} can not be read` };
    entries.push(entry);
  }
  return { status: 'complete', metadata: header.metadata, logPosition: header.stamp, entries };
};

/** The rows of one write; the header goes with the entries, so both are durable or neither. */
export const rowsOf = (write: DiskWrite): Parameters<Disk['write']>[0] => ({
  clearFirst: write.wipesFirst,
  deletes: write.deletedKeys.map((key) => `=${key}`),
  puts: [
    ...write.entries.map(entryRow),
    {
      key: headerKey,
      text: JSON.stringify({ format: 1, metadata: write.metadata, stamp: write.logPosition }),
    },
  ],
});
