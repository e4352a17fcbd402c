/**
 * Data folder of a program: rows in one lmdb file, each with a checksum. It is read in full at startup and
 * only written afterwards. The program defines the content of the rows.
 */

import { createHash } from 'node:crypto';
import { mkdirSync } from 'node:fs';
import { join } from 'node:path';
import { type RootDatabase, open } from 'lmdb';
import { type Result, err, ok } from 'true-myth/result';
import { commitFailureCause } from './commit-failure.js';
import { markReadingFinished, prepareForReading } from './quarantine.js';

const dataFileName = 'table.lmdb';
const markerFileName = 'opening';
const maxDatabaseBytes = 1024 * 1024 * 1024;
const maxReaders = 4;
const checksumDigits = 32;

/** Row of the data folder. */
export interface StoredRow {
  readonly key: string;
  readonly text: string;
}

/** Atomic change of the rows: first clears all of them if requested, then deletes, then puts. */
export interface StorageChange {
  readonly puts: readonly StoredRow[];
  readonly deletes: readonly string[];
  readonly clearFirst: boolean;
}

/** Reason why a change could not be written. */
export interface WriteFailure {
  readonly text: string;
  /** Whether the disk is full or the database has reached its maximum size. */
  readonly isDiskFull: boolean;
}

const checksum = (key: string, text: string): string =>
  createHash('sha256').update(key).update('\0').update(text).digest('hex').slice(0, checksumDigits);

const isOutOfSpace = (errorText: string): boolean =>
  /ENOSPC|MDB_MAP_FULL|No space/i.test(errorText);

const openDatabase = (file: string): RootDatabase<string, string> =>
  open<string, string>({
    path: file,
    encoding: 'string',
    // With overlapping sync, a write would be confirmed before it is durable.
    overlappingSync: false,
    noMemInit: false,
    mapSize: maxDatabaseBytes,
    compression: false,
    cache: false,
    maxReaders,
  });

/** Data folder, opened for one process. */
export class Disk {
  readonly #database: RootDatabase<string, string>;
  readonly #markerFile: string;

  /** Reason why the existing data file was quarantined as damaged; undefined if it was not. */
  readonly quarantineReason: string | undefined;

  /** Opens the data folder, or creates it; throws if it is not accessible. */
  constructor(folder: string) {
    mkdirSync(folder, { recursive: true });
    const dataFile = join(folder, dataFileName);
    this.#markerFile = join(folder, markerFileName);
    this.quarantineReason = prepareForReading(dataFile, this.#markerFile);
    this.#database = openDatabase(dataFile);
  }

  /** Reads all rows; fails if the file can't be read or a row does not match its checksum. */
  read(): Result<readonly StoredRow[], string> {
    const rows: StoredRow[] = [];
    try {
      for (const { key, value } of this.#database.getRange()) {
        const separatorIndex = value.indexOf(' ');
        const text = value.slice(separatorIndex + 1);
        if (separatorIndex < 0 || checksum(key, text) !== value.slice(0, separatorIndex))
          return err(`row ${key} does not match its checksum`);
        rows.push({ key, text });
      }
    } catch (error) {
      return err(
        error instanceof Error ? error.message : 'unknown error while reading the data file',
      );
    }
    markReadingFinished(this.#markerFile);
    return ok(rows);
  }

  /** Writes a change; resolves once it is durable, or once it has failed without any effect. */
  async write(change: StorageChange): Promise<Result<true, WriteFailure>> {
    try {
      await this.#database.transaction(() => {
        if (change.clearFirst) this.#database.clearSync();
        for (const key of change.deletes) this.#database.removeSync(key);
        for (const { key, text } of change.puts)
          this.#database.putSync(key, `${checksum(key, text)} ${text}`);
      });
      await this.#database.flushed;
      return ok(true);
    } catch (error) {
      const cause = await commitFailureCause(error);
      const text =
        cause instanceof Error ? cause.message : 'unknown error while writing the data file';
      return err({ text, isDiskFull: isOutOfSpace(text) });
    }
  }

  /** Closes the data file; resolves after pending writes have finished. */
  async close(): Promise<void> {
    await this.#database.close();
  }
}
