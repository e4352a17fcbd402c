/**
 * Keeps a damaged data file from ending the process at every start. lmdb maps its file into memory, so a
 * file that is damaged in the wrong place crashes the process while it is read. Starts that have not
 * finished reading are counted in a marker file; after some of them the data file is set aside.
 */

import {
  closeSync,
  existsSync,
  openSync,
  readFileSync,
  readSync,
  renameSync,
  rmSync,
  writeFileSync,
} from 'node:fs';

const maxUnfinishedReads = 3;

/** The magic number of lmdb in the first page of its file. */
const lmdbMagic = 0xbeefc0de;
const lmdbMagicOffset = 24;
const lmdbMagicBytes = 4;

const hasLmdbMagic = (file: string): boolean => {
  const head = Buffer.alloc(lmdbMagicOffset + lmdbMagicBytes);
  const descriptor = openSync(file, 'r');
  const bytesRead = readSync(descriptor, head, 0, head.length, 0);
  closeSync(descriptor);
  return bytesRead === head.length && head.readUInt32LE(lmdbMagicOffset) === lmdbMagic;
};

const damageOf = (file: string, unfinishedReads: number): string | undefined => {
  if (!existsSync(file)) return undefined;
  if (!hasLmdbMagic(file)) return 'the file does not begin as it must';
  if (unfinishedReads < maxUnfinishedReads) return undefined;
  return `the process ended ${unfinishedReads} times while reading it`;
};

/** A full disk takes no count, and must not keep a process from starting: reading needs no space. */
const writeCount = (markerFile: string, count: number): void => {
  try {
    writeFileSync(markerFile, String(count), { flush: true });
  } catch {
    // The start goes on without a count.
  }
};

/**
 * Prepares a data file for reading: sets it aside if it is damaged, and counts this start until
 * {@link readingFinished}. Returns why the file was set aside, if it was. Throws if files can't be
 * accessed.
 */
export const prepareForReading = (dataFile: string, markerFile: string): string | undefined => {
  const unfinishedReads = existsSync(markerFile)
    ? Number(readFileSync(markerFile, 'utf8')) || 0
    : 0;
  const damage = damageOf(dataFile, unfinishedReads);
  if (damage !== undefined) {
    // Only the last one is kept for inspection: more of them would fill the disk.
    renameSync(dataFile, `${dataFile}.damaged`);
    rmSync(`${dataFile}-lock`, { force: true });
  }
  writeCount(markerFile, damage === undefined ? unfinishedReads + 1 : 1);
  return damage;
};

/** Ends the count of this start: the data file has been read. */
export const readingFinished = (markerFile: string): void => {
  rmSync(markerFile, { force: true });
};
