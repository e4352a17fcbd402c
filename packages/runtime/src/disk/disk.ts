/**
 * The data folder of a program: rows in one lmdb file, each with a checksum. It is read whole at the
 * start and only written after that; what the rows mean is up to the program.
 */

import { createHash } from 'node:crypto';
import { mkdirSync } from 'node:fs';
import { join } from 'node:path';
import { type RootDatabase, open } from 'lmdb';
import { type Result, err, ok } from 'true-myth/result';
import { commitFailureCause } from './commit-failure.js';
import { prepareForReading, readingFinished } from './quarantine.js';

const dataFileName = 'table.lmdb';
const markerFileName = 'opening';
const maxDatabaseBytes = 1024 * 1024 * 1024;
const maxReaders = 4;
const checksumDigits = 32;

/** One row of the data folder. */
export interface StoredRow {
  readonly key: string;
  readonly text: string;
}

/** One atomic change: clears first if asked to, then deletes, then puts. */
export interface StorageChange {
  readonly puts: readonly StoredRow[];
  readonly deletes: readonly string[];
  readonly clearFirst: boolean;
}

/** Why a change could not be written. */
export interface WriteFailure {
  readonly text: string;
  /** Whether the disk or the database has no space left. */
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
    // Overlapping sync would acknowledge a commit before it is durable.
    overlappingSync: false,
    noMemInit: false,
    mapSize: maxDatabaseBytes,
    compression: false,
    cache: false,
    maxReaders,
  });

/** See the module's comment. */
export class Disk {
  readonly #database: RootDatabase<string, string>;
  readonly #markerFile: string;

  /** Why the data file that was there was set aside as damaged; undefined if it was not. */
  readonly quarantineReason: string | undefined;

  /** Opens or creates the data folder; throws if it can't be used. */
  constructor(folder: string) {
    mkdirSync(folder, { recursive: true });
    const dataFile = join(folder, dataFileName);
    this.#markerFile = join(folder, markerFileName);
    this.quarantineReason = prepareForReading(dataFile, this.#markerFile);
    this.#database = openDatabase(dataFile);
  }

  /** Reads all rows; fails with the reason if any of them does not match its checksum. */
  read(): Result<readonly StoredRow[], string> {
    const rows: StoredRow[] = [];
    try {
      for (const { key, value } of this.#database.getRange()) {
        const separatorIndex = value.indexOf(' ');
        const text = value.slice(separatorIndex + 1);
        if (separatorIndex < 0 || checksum(key, text) !== value.slice(0, separatorIndex))
          return err(`the entry ${key} does not fit its checksum`);
        rows.push({ key, text });
      }
    } catch (error) {
      return err(error instanceof Error ? error.message : 'unreadable');
    }
    readingFinished(this.#markerFile);
    return ok(rows);
  }

  /** Writes a change; settles once it is durable, or has failed and changed nothing. */
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
      const text = cause instanceof Error ? cause.message : 'unwritable';
      return err({ text, isDiskFull: isOutOfSpace(text) });
    }
  }

  /** Closes the data file; settles when writes under way have ended. */
  async close(): Promise<void> {
    await this.#database.close();
  }
}
