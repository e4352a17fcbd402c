/**
 * Quarantine of damaged data files. lmdb maps its file into memory, so reading a damaged file may crash the
 * process. A marker file counts the starts that did not finish reading; after a few of them the data file is
 * renamed, so that the process can start without it.
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

/** Number of unfinished reads in a row after which a data file is quarantined. */
const maxUnfinishedReads = 3;

/** Magic number in the first page of an lmdb file. */
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

const quarantineReasonOf = (file: string, unfinishedReads: number): string | undefined => {
  if (!existsSync(file)) return undefined;
  if (!hasLmdbMagic(file)) return 'the file does not start with the header of an lmdb file';
  if (unfinishedReads < maxUnfinishedReads) return undefined;
  return `the process ended ${unfinishedReads} times while reading the file`;
};

/** Writes the marker file; errors are ignored, as a full disk must not prevent a start, which only reads. */
const writeCount = (markerFile: string, count: number): void => {
  try {
    writeFileSync(markerFile, String(count), { flush: true });
  } catch {
    // This start is not counted.
  }
};

/**
 * Prepares a data file for reading: quarantines it if it is damaged, and counts this start as unfinished until
 * {@link markReadingFinished}. Returns the reason for a quarantine, if any. Throws if a file is not accessible.
 */
export const prepareForReading = (dataFile: string, markerFile: string): string | undefined => {
  const unfinishedReads = existsSync(markerFile)
    ? Number(readFileSync(markerFile, 'utf8')) || 0
    : 0;
  const reason = quarantineReasonOf(dataFile, unfinishedReads);
  if (reason !== undefined) {
    // Replaces an earlier quarantined file, so that these do not fill the disk.
    renameSync(dataFile, `${dataFile}.damaged`);
    rmSync(`${dataFile}-lock`, { force: true });
  }
  writeCount(markerFile, reason === undefined ? unfinishedReads + 1 : 1);
  return reason;
};

/** Removes the marker file, because the data file has been read. */
export const markReadingFinished = (markerFile: string): void => {
  rmSync(markerFile, { force: true });
};
