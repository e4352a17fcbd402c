/** Holds the form of the head row, which says to which fleet and epoch the other rows of a disk belong. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type Disk, type StoredRow } from '@switchwheel/runtime';
import { rowsOf, readDisk } from './disk-rows.js';
import { withDisk, withTemporaryFolder } from './testing/stored-fixture.js';

const headKey = '!head';
const metadata = {
  fleet: 'fixture.1',
  epoch: 6,
  inSyncSet: ['store-1'],
  stores: [{ node: 'store-1', address: '127.0.0.1:7010' }],
  electorate: { serial: 3, members: [{ node: 'registry-1', address: '127.0.0.1:7000' }] },
};
const stamp = { epoch: 6, seq: 93 };
const head = { format: 1, metadata, stamp };
const entry: StoredRow = {
  key: '=number/0000000000000002',
  text: '5 40 {"hash":"of a configuration"}',
};

const writeRows = async (disk: Disk, sets: readonly StoredRow[]): Promise<void> => {
  const written = await disk.write({ puts: sets, deletes: [], clearFirst: true });
  assert.ok(written.isOk);
};

/** What a disk with a head and one entry is found to hold. */
const foundWith = async (disk: Disk, headRow: object): Promise<ReturnType<typeof readDisk>> => {
  await writeRows(disk, [{ key: headKey, text: JSON.stringify(headRow) }, entry]);
  return readDisk(disk);
};

const incompleteHeads: ReadonlyMap<string, object> = new Map<string, object>([
  ['no format', { metadata, stamp }],
  ['another format', { ...head, format: 2 }],
  ['no metadata', { format: 1, stamp }],
  ['no stamp', { format: 1, metadata }],
  ['a stamp without its epoch', { ...head, stamp: { seq: 93 } }],
  ['a stamp without its number', { ...head, stamp: { epoch: 6 } }],
  ...Object.keys(metadata).map((name): [string, object] => [
    `metadata without ${name}`,
    {
      ...head,
      metadata: Object.fromEntries(Object.entries(metadata).filter(([key]) => key !== name)),
    },
  ]),
]);

void test('a head and an entry are found as they were written, and written again alike', () =>
  withTemporaryFolder((folder) =>
    withDisk(folder, async (disk) => {
      const found = await foundWith(disk, head);
      assert.ok(found.status === 'complete');
      assert.deepEqual(found.metadata, metadata);
      assert.deepEqual(found.logPosition, stamp);
      assert.deepEqual(found.entries, [
        {
          key: 'number/0000000000000002',
          stamp: { epoch: 5, seq: 40 },
          data: '{"hash":"of a configuration"}',
        },
      ]);
      const change = rowsOf({
        id: 1,
        metadata: found.metadata,
        logPosition: found.logPosition,
        entries: found.entries,
        deletedKeys: ['number/0000000000000001'],
        wipesFirst: false,
      });
      assert.deepEqual(change, {
        clearFirst: false,
        deletes: ['=number/0000000000000001'],
        puts: [entry, { key: headKey, text: JSON.stringify(head) }],
      });
    }),
  ));

void test('a head that lacks a part, or is of another format, makes the disk damaged', () =>
  withTemporaryFolder((folder) =>
    withDisk(folder, async (disk) => {
      for (const [what, incomplete] of incompleteHeads)
        assert.deepEqual(
          await foundWith(disk, incomplete),
          { status: 'damaged', reason: 'the head can not be read' },
          what,
        );
    }),
  ));
