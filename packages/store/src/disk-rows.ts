/**
 * Row format of a store's data folder: one header row with the cluster metadata and the log position of the last write,
 * and one row per entry of the table. Existing folders have this format, so it must stay readable.
 */

import * as v from 'valibot';
import {
  clusterMetadata as metadataSchema,
  logPosition as logPositionSchema,
} from '@switchwheel/transport';
import type { Disk, StoredRow } from '@switchwheel/runtime';
import type { DiskWrite, DiskContents, KeyedEntry } from '@switchwheel/replicated-store';

const headerKey = '!head';
const headerSchema = v.object({
  format: v.literal(1),
  metadata: metadataSchema,
  stamp: logPositionSchema,
});

const entryRow = (entry: KeyedEntry): StoredRow => ({
  key: `=${entry.key}`,
  text: `${entry.stamp.epoch} ${entry.stamp.seq} ${entry.data}`,
});

const parseEntryRow = (row: StoredRow): KeyedEntry | undefined => {
  const [epoch, seq] = row.text.split(' ', 2);
  const read = v.safeParse(logPositionSchema, { epoch: Number(epoch), seq: Number(seq) });
  if (!row.key.startsWith('=') || !read.success) return undefined;
  return {
    key: row.key.slice(1),
    stamp: read.output,
    data: row.text.slice(`${epoch ?? ''} ${seq ?? ''} `.length),
  };
};

/** Reads a data folder. It is damaged if it can't be read, lacks its header row, or has a malformed row. */
export const readDiskContents = (disk: Disk): DiskContents => {
  if (disk.quarantineReason !== undefined)
    return { status: 'damaged', reason: disk.quarantineReason };
  const read = disk.read();
  if (read.isErr) return { status: 'damaged', reason: read.error };
  if (read.value.length === 0) return { status: 'empty' };
  const headerRow = read.value.find((row) => row.key === headerKey);
  if (headerRow === undefined)
    return { status: 'damaged', reason: 'the header row !head is missing' };
  let header: v.InferOutput<typeof headerSchema>;
  try {
    header = v.parse(headerSchema, JSON.parse(headerRow.text));
  } catch {
    return { status: 'damaged', reason: 'the header row !head is malformed' };
  }
  const entries: KeyedEntry[] = [];
  for (const row of read.value) {
    if (row.key === headerKey) continue;
    const entry = parseEntryRow(row);
    if (entry === undefined)
      return { status: 'damaged', reason: `the entry row ${row.key} is malformed` };
    entries.push(entry);
  }
  return { status: 'complete', metadata: header.metadata, logPosition: header.stamp, entries };
};

/** Changes of rows for one write; the header is in the same transaction as the entries, so both are durable or neither. */
export const rowChangesFor = (write: DiskWrite): Parameters<Disk['write']>[0] => ({
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
