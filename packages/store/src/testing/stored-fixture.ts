/** Access to the data folders in packages/store/fixtures, which earlier sources have written. For tests only. */

import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import * as v from 'valibot';
import { Disk } from '@switchwheel/runtime';

const fixtures = fileURLToPath(new URL('../../fixtures/stored-0ee98b4/', import.meta.url));

const tableFile = 'table.lmdb';
const headKey = '!head';
const entryForm = v.strictObject({ epoch: v.number(), seq: v.number(), value: v.unknown() });
const rowsForm = v.record(v.string(), v.unknown());

/** The stores of the fixture by what they were when they last wrote. */
export const fixtureStores = ['primary', 'backup'] as const;
/** One of the stores of the fixture. */
export type FixtureStore = (typeof fixtureStores)[number];

const readJson = (name: string): unknown => JSON.parse(readFileSync(join(fixtures, name), 'utf8'));

/** The text of a row on the disk, from what the fixture tells of it. */
const rowText = (key: string, recorded: unknown): string => {
  if (key === headKey) return JSON.stringify(recorded);
  const { epoch, seq, value } = v.parse(entryForm, recorded);
  return `${epoch} ${seq} ${JSON.stringify(value)}`;
};

/** The text of every row by its key, as the earlier sources read it; both stores have the same rows. */
export const recordedRows = (): Readonly<Record<string, string>> =>
  Object.fromEntries(
    Object.entries(v.parse(rowsForm, readJson('rows.json'))).map(([key, recorded]) => [
      key,
      rowText(key, recorded),
    ]),
  );

/** What the earlier sources loaded from the rows. */
export const recordedFacts = (): unknown => readJson('loaded.json');

/** Works in a new folder that is gone afterwards. */
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

/** Works on a copy of a store's data folder, as opening a folder writes to it. */
export const withDataFolder = (
  store: FixtureStore,
  work: (folder: string) => Promise<void>,
): Promise<void> =>
  withTemporaryFolder((folder) => {
    // The bytes alone: a copied file would keep the mode of a read-only checkout.
    writeFileSync(join(folder, tableFile), readFileSync(join(fixtures, store, tableFile)));
    return work(folder);
  });

/** Opens a data folder for some work, and closes it in any case. */
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
