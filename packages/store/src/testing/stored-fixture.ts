/** Access to the data folders in `fixtures/`, which an earlier version wrote. For tests only. */

import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import * as v from 'valibot';
import { Disk } from '@switchwheel/runtime';

const fixtures = fileURLToPath(new URL('../../fixtures/stored-0ee98b4/', import.meta.url));

const tableFile = 'table.lmdb';
const headerKey = '!head';
const entrySchema = v.strictObject({ epoch: v.number(), seq: v.number(), value: v.unknown() });
const rowsSchema = v.record(v.string(), v.unknown());

/** Stores of the fixture, by their role when the data were copied. */
export const fixtureStores = ['primary', 'backup'] as const;
/** Role of a store in the fixture. */
export type FixtureStore = (typeof fixtureStores)[number];

const readJson = (name: string): unknown => JSON.parse(readFileSync(join(fixtures, name), 'utf8'));

/** Text of a row on the disk, rebuilt from its record in the fixture. */
const rowText = (key: string, recorded: unknown): string => {
  if (key === headerKey) return JSON.stringify(recorded);
  const { epoch, seq, value } = v.parse(entrySchema, recorded);
  return `${epoch} ${seq} ${JSON.stringify(value)}`;
};

/** Text of every row by its key, as the earlier version read it; both stores have the same rows. */
export const recordedRows = (): Readonly<Record<string, string>> =>
  Object.fromEntries(
    Object.entries(v.parse(rowsSchema, readJson('rows.json'))).map(([key, recorded]) => [
      key,
      rowText(key, recorded),
    ]),
  );

/** State that the earlier version loaded from the rows, in the form of `loadedFacts`. */
export const recordedFacts = (): unknown => readJson('loaded.json');

/** Runs `work` in a new temporary folder, and deletes the folder afterwards. */
export const withTemporaryFolder = async (
  work: (folder: string) => Promise<void>,
): Promise<void> => {
  const folder = mkdtempSync(join(tmpdir(), 'stored-'));
  try {
    await work(folder);
  } finally {
    rmSync(folder, { recursive: true, force: true });
  }
};

/** Runs `work` on a copy of a store's data folder, since opening a data folder writes to it. */
export const withDataFolder = (
  store: FixtureStore,
  work: (folder: string) => Promise<void>,
): Promise<void> =>
  withTemporaryFolder((folder) => {
    // Copies the contents only: `copyFileSync` would also copy the mode, which may be read-only.
    writeFileSync(join(folder, tableFile), readFileSync(join(fixtures, store, tableFile)));
    return work(folder);
  });

/** Runs `work` on an open data folder, and closes the folder afterwards, also after an error. */
export const withDisk = async (
  folder: string,
  work: (disk: Disk) => Promise<void> | void,
): Promise<void> => {
  const disk = new Disk(folder);
  try {
    await work(disk);
  } finally {
    await disk.close();
  }
};
