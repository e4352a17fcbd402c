/**
 * Creation of primary and backup writes, and the effects that write them to this store's own disk.
 */

import { type Timestamp, transition } from '@switchwheel/types';
import type { StoreEffect } from '../state/events.js';
import type { BackupWrite, PrimaryWrite } from '../state/open-writes.js';
import type { StoreState } from '../state/state.js';
import type { StoreTransition } from '../state/transition.js';

/** Empty set of acknowledgements, for a write that no backup has acknowledged yet. */
export const noAcknowledgements: PrimaryWrite['acknowledgedBy'] = new Set();

/** Creates a primary write in the phase `writingToDisk`. */
export const newPrimaryWrite = (
  state: StoreState,
  content: Pick<
    PrimaryWrite,
    'metadata' | 'logPosition' | 'puts' | 'controlAfter' | 'replies' | 'canaryReports'
  >,
  now: Timestamp,
): PrimaryWrite => ({
  ...content,
  id: state.nextWriteId,
  phase: 'writingToDisk',
  isOnOwnDisk: false,
  phaseStartedAt: now,
  lastSentAt: now,
  acknowledgedBy: noAcknowledgements,
  previousLogPosition: state.logPosition,
});

/** Effect that writes a primary write to the primary's own disk. */
export const diskWrite = ({
  id,
  metadata,
  logPosition: stamp,
  puts,
}: Pick<PrimaryWrite, 'id' | 'metadata' | 'logPosition' | 'puts'>): StoreEffect => ({
  kind: 'writeToDisk',
  write: {
    id,
    metadata,
    logPosition: stamp,
    wipesFirst: false,
    entries: puts.flatMap(({ key, data }) => (data === null ? [] : [{ key, stamp, data }])),
    deletedKeys: puts.flatMap(({ key, data }) => (data === null ? [key] : [])),
  },
});

/**
 * Opens a backup write and writes it to disk. A bootstrap, and the first write to a damaged disk, wipe the disk
 * first.
 */
export const startBackupWrite = (
  state: StoreState,
  content: Omit<BackupWrite, 'id'>,
): StoreTransition => {
  const backupWrite: BackupWrite = { ...content, id: state.nextWriteId };
  const { id, metadata, logPosition, puts, logPositionByKey } = backupWrite;
  return transition(
    { ...state, backupWrite, nextWriteId: state.nextWriteId + 1 },
    {
      kind: 'writeToDisk',
      write: {
        id,
        metadata,
        logPosition,
        entries: puts.flatMap(({ key, data }) =>
          data === null ? [] : [{ key, data, stamp: logPositionByKey.get(key) ?? logPosition }],
        ),
        deletedKeys: puts.flatMap(({ key, data }) => (data === null ? [key] : [])),
        wipesFirst: backupWrite.purpose === 'bootstrap' || state.mustWipe,
      },
    },
  );
};
