/** What the machines' virtual disks hold, and how a store reads it back. */

import type { ClusterMetadata, LogPosition } from '@switchwheel/transport';
import { controlKeys } from '@switchwheel/configuration';
import type { DiskWrite, DiskContents, KeyedEntry } from '@switchwheel/replicated-store';

/** What a virtual disk holds durably; never changed in place. */
export interface DiskImage {
  readonly metadata: ClusterMetadata;
  readonly stamp: LogPosition;
  readonly entries: ReadonlyMap<string, KeyedEntry>;
}

/** The image after a write, which is taken as a whole. */
export const applyWrite = (image: DiskImage | undefined, write: DiskWrite): DiskImage => {
  const before = write.wipesFirst ? [] : (image?.entries ?? []);
  const entries = new Map<string, KeyedEntry>(before);
  for (const key of write.deletedKeys) entries.delete(key);
  for (const entry of write.entries) entries.set(entry.key, entry);
  return { metadata: write.metadata, stamp: write.logPosition, entries };
};

/** What a store that starts reads from a disk. */
export const readImage = (image: DiskImage | undefined): DiskContents =>
  image === undefined
    ? { status: 'empty' }
    : {
        status: 'complete',
        metadata: image.metadata,
        logPosition: image.stamp,
        entries: [...image.entries.values()],
      };

const generationPattern = /"generation":(\d+)/;

/** The number of the configuration on a disk; 0 if there is none. */
export const storedGeneration = (image: DiskImage | undefined): number => {
  const data = image?.entries.get(controlKeys.configuration)?.data;
  return Number(generationPattern.exec(data ?? '')?.[1] ?? 0);
};
