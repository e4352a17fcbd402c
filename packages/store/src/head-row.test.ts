/** Guards the format of the header row: with another format, existing data folders could not be read. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type Disk, type StoredRow } from '@switchwheel/runtime';
import { rowChangesFor, readDiskContents } from './disk-rows.js';
import { withDisk, withTemporaryFolder } from './testing/stored-fixture.js';

const headerKey = '!head';
const metadata = {
  fleet: 'fixture.1',
  epoch: 6,
  inSyncSet: ['store-1'],
  stores: [{ node: 'store-1', address: '127.0.0.1:7010' }],
  electorate: { serial: 3, members: [{ node: 'registry-1', address: '127.0.0.1:7000' }] },
};
const logPosition = { epoch: 6, seq: 93 };
const header = { format: 1, metadata, stamp: logPosition };
const entry: StoredRow = {
  key: '=number/0000000000000002',
  text: '5 40 {"hash":"of a configuration"}',
};

const writeRows = async (disk: Disk, rows: readonly StoredRow[]): Promise<void> => {
  const result = await disk.write({ puts: rows, deletes: [], clearFirst: true });
  assert.ok(result.isOk);
};

/** Writes a header and one entry, and reads the disk. */
const readWithHeader = async (
  disk: Disk,
  headerRow: object,
): Promise<ReturnType<typeof readDiskContents>> => {
  await writeRows(disk, [{ key: headerKey, text: JSON.stringify(headerRow) }, entry]);
  return readDiskContents(disk);
};

const incompleteHeaders: ReadonlyMap<string, object> = new Map<string, object>([
  ['no format', { metadata, stamp: logPosition }],
  ['another format', { ...header, format: 2 }],
  ['no metadata', { format: 1, stamp: logPosition }],
  ['no log position', { format: 1, metadata }],
  ['a log position without its epoch', { ...header, stamp: { seq: 93 } }],
  ['a log position without its sequence', { ...header, stamp: { epoch: 6 } }],
  ...Object.keys(metadata).map((name): [string, object] => [
    `metadata without ${name}`,
    {
      ...header,
      metadata: Object.fromEntries(Object.entries(metadata).filter(([key]) => key !== name)),
    },
  ]),
]);

void test('a header and an entry are read as written, and are written in the same format', () =>
  withTemporaryFolder((folder) =>
    withDisk(folder, async (disk) => {
      const contents = await readWithHeader(disk, header);
      assert.ok(contents.status === 'complete');
      assert.deepEqual(contents.metadata, metadata);
      assert.deepEqual(contents.logPosition, logPosition);
      assert.deepEqual(contents.entries, [
        {
          key: 'number/0000000000000002',
          stamp: { epoch: 5, seq: 40 },
          data: '{"hash":"of a configuration"}',
        },
      ]);
      const changes = rowChangesFor({
        id: 1,
        metadata: contents.metadata,
        logPosition: contents.logPosition,
        entries: contents.entries,
        deletedKeys: ['number/0000000000000001'],
        wipesFirst: false,
      });
      assert.deepEqual(changes, {
        clearFirst: false,
        deletes: ['=number/0000000000000001'],
        puts: [entry, { key: headerKey, text: JSON.stringify(header) }],
      });
    }),
  ));

void test('a disk whose header lacks a member or has another format is reported as damaged', () =>
  withTemporaryFolder((folder) =>
    withDisk(folder, async (disk) => {
      for (const [description, incomplete] of incompleteHeaders)
        assert.deepEqual(
          await readWithHeader(disk, incomplete),
          { status: 'damaged', reason: 'the header row !head is malformed' },
          description,
        );
    }),
  ));
