/** Contents of the machines' simulated disks. */

import type { ClusterMetadata, LogPosition } from '@switchwheel/transport';
import { controlKeys } from '@switchwheel/configuration';
import type { DiskWrite, DiskContents, KeyedEntry } from '@switchwheel/replicated-store';

/** Immutable durable contents of a simulated disk. */
export interface DiskImage {
  readonly metadata: ClusterMetadata;
  readonly logPosition: LogPosition;
  readonly entries: ReadonlyMap<string, KeyedEntry>;
}

/** Returns the image after a write, which is applied atomically. */
export const applyWrite = (image: DiskImage | undefined, write: DiskWrite): DiskImage => {
  const previousEntries = write.wipesFirst ? [] : (image?.entries ?? []);
  const entries = new Map<string, KeyedEntry>(previousEntries);
  for (const key of write.deletedKeys) entries.delete(key);
  for (const entry of write.entries) entries.set(entry.key, entry);
  return { metadata: write.metadata, logPosition: write.logPosition, entries };
};

/** Returns the contents that a starting store reads from its disk. */
export const readImage = (image: DiskImage | undefined): DiskContents =>
  image === undefined
    ? { status: 'empty' }
    : {
        status: 'complete',
        metadata: image.metadata,
        logPosition: image.logPosition,
        entries: [...image.entries.values()],
      };

const generationPattern = /"generation":(\d+)/;

/** Returns the generation of the configuration on a disk; 0 if there is none. */
export const storedGeneration = (image: DiskImage | undefined): number => {
  const data = image?.entries.get(controlKeys.configuration)?.data;
  return Number(generationPattern.exec(data ?? '')?.[1] ?? 0);
};
