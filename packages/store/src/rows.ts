import * as v from 'valibot';
import { clusterMetadata as charterSchema, stamp as stampSchema } from '@switchwheel/transport';
import type { Disk, Row } from '@switchwheel/runtime';
import type { DiskWrite, Found, KeyedEntry } from '@switchwheel/replicated-store';

const headKey = '!head';
const head = v.object({ format: v.literal(1), metadata: charterSchema, stamp: stampSchema });

const entryRow = (one: KeyedEntry): Row => ({
  key: `=${one.key}`,
  text: `${one.stamp.epoch} ${one.stamp.seq} ${one.data}`,
});

const readRow = (row: Row): KeyedEntry | undefined => {
  const [epoch, seq] = row.text.split(' ', 2);
  const read = v.safeParse(stampSchema, { epoch: Number(epoch), seq: Number(seq) });
  if (!row.key.startsWith('=') || !read.success) return undefined;
  return {
    key: row.key.slice(1),
    stamp: read.output,
    data: row.text.slice(`${epoch ?? ''} ${seq ?? ''} `.length),
  };
};

/** What a data folder holds: nothing, a whole record, or something that can't be trusted. */
export const findOn = (disk: Disk): Found => {
  if (disk.aside !== undefined) return { found: 'damaged', text: disk.aside };
  const read = disk.read();
  if (read.isErr) return { found: 'damaged', text: read.error };
  if (read.value.length === 0) return { found: 'nothing' };
  const top = read.value.find((row) => row.key === headKey);
  if (top === undefined) return { found: 'damaged', text: 'the head is missing' };
  let told: v.InferOutput<typeof head>;
  try {
    told = v.parse(head, JSON.parse(top.text));
  } catch {
    return { found: 'damaged', text: 'the head can not be read' };
  }
  const entries: KeyedEntry[] = [];
  for (const row of read.value) {
    if (row.key === headKey) continue;
    const entry = readRow(row);
    if (entry === undefined)
      return { found: 'damaged', text: `the entry ${row.key} can not be read` };
    entries.push(entry);
  }
  return { found: 'whole', metadata: told.metadata, stamp: told.stamp, entries };
};

/** The rows of one write; the head goes with it, so both last or neither. */
export const changeOf = (write: DiskWrite): Parameters<Disk['write']>[0] => ({
  wipe: write.wipe,
  drops: write.drops.map((key) => `=${key}`),
  sets: [
    ...write.sets.map(entryRow),
    {
      key: headKey,
      text: JSON.stringify({ format: 1, metadata: write.metadata, stamp: write.stamp }),
    },
  ],
});
