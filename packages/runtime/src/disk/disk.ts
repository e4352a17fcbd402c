import { createHash } from 'node:crypto';
import {
  closeSync,
  existsSync,
  mkdirSync,
  openSync,
  readFileSync,
  readSync,
  renameSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import { join } from 'node:path';
import { type RootDatabase, open } from 'lmdb';
import type { Result } from 'true-myth/result';
import { err, ok } from 'true-myth/result';
import { causeOf } from './fault.js';

/** One row as it lies on the disk, with a checksum of its own. */
export interface StoredRow {
  readonly key: string;
  readonly text: string;
}

/** One change of the disk: all of it lasts, or none. */
export interface StorageChange {
  readonly puts: readonly StoredRow[];
  readonly deletes: readonly string[];
  readonly clearFirst: boolean;
}

const sum = (key: string, text: string): string =>
  createHash('sha256').update(key).update('\0').update(text).digest('hex').slice(0, 32);

const mostTries = 3;

/** Whether a file begins as the library's files do. */
const looksWhole = (file: string): boolean => {
  const head = Buffer.alloc(28);
  const handle = openSync(file, 'r');
  const size = readSync(handle, head, 0, head.length, 0);
  closeSync(handle);
  return size === head.length && head.readUInt32LE(24) === 0xbeefc0de;
};

/** The one data folder of a program: read whole at start, then only written. */
export class Disk {
  readonly #base: RootDatabase<string, string>;

  /** What made the file that was found unusable, if it was set aside. */
  readonly quarantineReason: string | undefined;
  readonly #mark: string;

  constructor(folder: string) {
    mkdirSync(folder, { recursive: true });
    const file = join(folder, 'table.lmdb');
    this.#mark = join(folder, 'opening');
    // A file damaged in the wrong place ends the process while it is read: after some such starts it is set aside.
    const tries = existsSync(this.#mark) ? Number(readFileSync(this.#mark, 'utf8')) || 0 : 0;
    const damaged = !existsSync(file)
      ? undefined
      : !looksWhole(file)
        ? 'the file does not begin as it must'
        : tries >= mostTries
          ? `the process ended ${tries} times while reading it`
          : undefined;
    if (damaged !== undefined) {
      // One is kept to be looked at: more of them would fill the disk.
      renameSync(file, `${file}.damaged`);
      rmSync(`${file}-lock`, { force: true });
    }
    this.quarantineReason = damaged;
    this.#countStart(damaged === undefined ? tries + 1 : 1);
    this.#base = Disk.#open(folder);
  }

  /** Counts the starts that ended while reading; a full disk takes no count, and must not keep a process from starting. */
  #countStart(starts: number): void {
    try {
      writeFileSync(this.#mark, String(starts), { flush: true });
    } catch {
      // The start goes on: reading needs no room.
    }
  }

  static #open(folder: string): RootDatabase<string, string> {
    // Overlapping sync would let a commit be told before it lasts: it is turned off, so that a commit waits for the real sync.
    return open<string, string>({
      path: join(folder, 'table.lmdb'),
      encoding: 'string',
      overlappingSync: false,
      noMemInit: false,
      mapSize: 1024 * 1024 * 1024,
      compression: false,
      cache: false,
      maxReaders: 4,
    });
  }

  /** Reads all rows; one that does not fit its checksum makes the whole disk damaged. */
  read(): Result<readonly StoredRow[], string> {
    const rows: StoredRow[] = [];
    try {
      for (const { key, value } of this.#base.getRange()) {
        const cut = value.indexOf(' ');
        const text = value.slice(cut + 1);
        if (cut < 0 || sum(key, text) !== value.slice(0, cut))
          return err(`the entry ${key} does not fit its checksum`);
        rows.push({ key, text });
      }
    } catch (problem) {
      return err(problem instanceof Error ? problem.message : 'unreadable');
    }
    rmSync(this.#mark, { force: true });
    return ok(rows);
  }

  /** Writes a change; settles once it is synced. */
  async write(
    change: StorageChange,
  ): Promise<Result<true, { readonly text: string; readonly full: boolean }>> {
    try {
      await this.#base.transaction(() => {
        if (change.clearFirst) this.#base.clearSync();
        for (const key of change.deletes) this.#base.removeSync(key);
        for (const row of change.puts)
          this.#base.putSync(row.key, `${sum(row.key, row.text)} ${row.text}`);
      });
      await this.#base.flushed;
      return ok(true);
    } catch (problem) {
      const cause = await causeOf(problem);
      const text = cause instanceof Error ? cause.message : 'unwritable';
      return err({ text, full: /ENOSPC|MDB_MAP_FULL|No space/i.test(text) });
    }
  }

  async close(): Promise<void> {
    await this.#base.close();
  }
}
