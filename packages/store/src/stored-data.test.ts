/** Data folders that the sources of 0ee98b4 wrote stay readable: by the disk, by the store's rows, and by its machine. */

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
import { rowsOf, readDisk } from './disk-rows.js';
import { openData } from './data-folder.js';
import { startStore } from './start-store.js';
import { loadedFacts } from './testing/loaded-state.js';
import {
  fixtureStores,
  recordedFacts,
  recordedRows,
  withDataFolder,
  withDisk,
} from './testing/stored-fixture.js';

type WholeRecord = Extract<DiskContents, { readonly status: 'complete' }>;

const anyPort: Address = toAddress('127.0.0.1:0');

const rowsOn = (disk: Disk): Readonly<Record<string, string>> => {
  const read = disk.read();
  assert.ok(read.isOk, 'the disk can be read');
  return Object.fromEntries(read.value.map(({ key, text }) => [key, text]));
};

const recordOn = (disk: Disk): WholeRecord => {
  const found = readDisk(disk);
  assert.ok(found.status === 'complete', JSON.stringify(found));
  return found;
};

/** A store that has just started and knows nothing. */
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
  void test(`every row in the data folder of the ${name} is read as it was`, () =>
    withDataFolder(name, (folder) =>
      withDisk(folder, (disk) => {
        assert.equal(disk.quarantineReason, undefined);
        assert.deepEqual(rowsOn(disk), recordedRows());
      }),
    ));

  void test(`the store's machine loads the data folder of the ${name} without a fault`, () =>
    withDataFolder(name, (folder) =>
      withDisk(folder, (disk) => {
        const found = readDisk(disk);
        const loaded = storeTransition(startedStore(), {
          kind: 'diskRead',
          now: toTimestamp(1),
          contents: found,
        });
        assert.equal(loaded.state.phase, 'member');
        assert.equal(loaded.state.diskDamage, '');
        assert.equal(loaded.state.mustWipe, false);
        assert.deepEqual(JSON.parse(JSON.stringify(loadedFacts(loaded.state))), recordedFacts());
      }),
    ));

  void test(`the chunks of the ${name}'s configuration fit their hashes`, () =>
    withDataFolder(name, (folder) =>
      withDisk(folder, (disk) => {
        const found = readDisk(disk);
        const { control } = storeTransition(startedStore(), {
          kind: 'diskRead',
          now: toTimestamp(1),
          contents: found,
        }).state;
        assert.ok(control.configuration !== undefined);
        assert.equal(
          configurationHash(control.configuration.offer.pieces),
          control.configuration.offer.hash,
        );
        for (const [hash, text] of control.chunks) assert.equal(contentHash(text), hash);
      }),
    ));

  void test(`what is written again over the data folder of the ${name} has the rows that it had`, () =>
    withDataFolder(name, async (folder) => {
      await withDisk(folder, async (disk) => {
        const { metadata, logPosition: stamp, entries } = recordOn(disk);
        const written = await disk.write(
          rowsOf({
            id: 1,
            metadata,
            logPosition: stamp,
            entries,
            deletedKeys: [],
            wipesFirst: true,
          }),
        );
        assert.ok(written.isOk);
      });
      await withDisk(folder, (disk) => {
        assert.deepEqual(rowsOn(disk), recordedRows());
      });
    }));

  void test(`a store program starts on the data folder of the ${name} and has all of it`, () =>
    withDataFolder(name, async (folder) => {
      // A store that fails while it starts keeps its sockets, and the test's process would never end.
      await withDisk(folder, (disk) => {
        const read = { kind: 'diskRead', now: toTimestamp(1), contents: readDisk(disk) } as const;
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
        openData(folder),
      );
      try {
        assert.match(running.metrics(), /entries\{[^}]*\} 46\n/);
        assert.match(running.metrics(), /generation\{[^}]*\} 2\n/);
      } finally {
        await running.stop();
      }
    }));
}
