/** Guards compatibility: a store must load data folders that version 0ee98b4 wrote, and keep their format. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  type Address,
  toAddress,
  toZoneName,
  toIncarnation,
  toTimestamp,
  toNodeId,
} from '@switchwheel/types';
import { configurationHash, contentHash } from '@switchwheel/configuration';
import { type Disk, createLogger } from '@switchwheel/runtime';
import {
  type DiskContents,
  type StoreState,
  newStoreState,
  storeTransition,
} from '@switchwheel/replicated-store';
import { rowChangesFor, readDiskContents } from './disk-rows.js';
import { openDataFolder } from './data-folder.js';
import { startStore } from './start-store.js';
import { loadedFacts } from './testing/loaded-state.js';
import {
  fixtureStores,
  recordedFacts,
  recordedRows,
  withDataFolder,
  withDisk,
} from './testing/stored-fixture.js';

type CompleteContents = Extract<DiskContents, { readonly status: 'complete' }>;

const anyPort: Address = toAddress('127.0.0.1:0');

const rowsOn = (disk: Disk): Readonly<Record<string, string>> => {
  const read = disk.read();
  assert.ok(read.isOk, 'the disk can be read');
  return Object.fromEntries(read.value.map(({ key, text }) => [key, text]));
};

const completeContentsOn = (disk: Disk): CompleteContents => {
  const contents = readDiskContents(disk);
  assert.ok(contents.status === 'complete', JSON.stringify(contents));
  return contents;
};

/** State of a store before it has read its disk. */
const startedStore = (): StoreState =>
  newStoreState(
    {
      node: toNodeId('c1-store'),
      role: 'store',
      area: toZoneName('north'),
      address: toAddress('127.0.0.1:1'),
      incarnation: toIncarnation(1),
    },
    [],
    { seed: 1 },
  );

for (const name of fixtureStores) {
  void test(`every row in the data folder of the ${name} is read as recorded`, () =>
    withDataFolder(name, (folder) =>
      withDisk(folder, (disk) => {
        assert.equal(disk.quarantineReason, undefined);
        assert.deepEqual(rowsOn(disk), recordedRows());
      }),
    ));

  void test(`the store's state machine loads the data folder of the ${name} without damage`, () =>
    withDataFolder(name, (folder) =>
      withDisk(folder, (disk) => {
        const contents = readDiskContents(disk);
        const loaded = storeTransition(startedStore(), {
          kind: 'diskRead',
          now: toTimestamp(1),
          contents,
        });
        assert.equal(loaded.state.phase, 'member');
        assert.equal(loaded.state.diskDamage, '');
        assert.equal(loaded.state.mustWipe, false);
        assert.deepEqual(JSON.parse(JSON.stringify(loadedFacts(loaded.state))), recordedFacts());
      }),
    ));

  void test(`the chunks of the ${name}'s configuration match their hashes`, () =>
    withDataFolder(name, (folder) =>
      withDisk(folder, (disk) => {
        const contents = readDiskContents(disk);
        const { control } = storeTransition(startedStore(), {
          kind: 'diskRead',
          now: toTimestamp(1),
          contents,
        }).state;
        assert.ok(control.configuration !== undefined);
        assert.equal(
          configurationHash(control.configuration.offer.pieces),
          control.configuration.offer.hash,
        );
        for (const [hash, text] of control.chunks) assert.equal(contentHash(text), hash);
      }),
    ));

  void test(`rewriting the data folder of the ${name} yields the same rows`, () =>
    withDataFolder(name, async (folder) => {
      await withDisk(folder, async (disk) => {
        const { metadata, logPosition, entries } = completeContentsOn(disk);
        const result = await disk.write(
          rowChangesFor({
            id: 1,
            metadata,
            logPosition,
            entries,
            deletedKeys: [],
            wipesFirst: true,
          }),
        );
        assert.ok(result.isOk);
      });
      await withDisk(folder, (disk) => {
        assert.deepEqual(rowsOn(disk), recordedRows());
      });
    }));

  void test(`a store started on the data folder of the ${name} loads all of its entries`, () =>
    withDataFolder(name, async (folder) => {
      // Checked first, as a store that fails during its start keeps its sockets open, and the test would not end.
      await withDisk(folder, (disk) => {
        const read = {
          kind: 'diskRead',
          now: toTimestamp(1),
          contents: readDiskContents(disk),
        } as const;
        assert.equal(storeTransition(startedStore(), read).state.phase, 'member');
      });
      const running = await startStore(
        {
          node: toNodeId('c1-store'),
          zone: toZoneName('north'),
          listen: anyPort,
          seeds: [],
          data: folder,
          graceMs: 0,
        },
        createLogger('store', toNodeId('c1-store'), 'error'),
        openDataFolder(folder),
      );
      try {
        assert.match(running.metrics(), /entries\{[^}]*\} 46\n/);
        assert.match(running.metrics(), /generation\{[^}]*\} 2\n/);
      } finally {
        await running.stop();
      }
    }));
}
