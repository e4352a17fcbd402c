/**
 * Opening a write, as primary and as backup, and the effect that puts it on this store's own disk.
 */

import { type Timestamp, transition } from '@switchwheel/types';
import type { StoreEffect } from '../state/events.js';
import type { BackupWrite, PrimaryWrite } from '../state/open-writes.js';
import type { StoreState } from '../state/state.js';
import type { StoreTransition } from '../state/transition.js';

/** The acknowledgements of a write that no backup has confirmed yet. */
export const noAcknowledgements: PrimaryWrite['acknowledgedBy'] = new Set();

/** A new write, about to go to the own disk. */
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

/** Puts a write of the primary on its own disk. */
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
 * Opens a write that this store takes from elsewhere and puts it on the disk. A bootstrap, and the first write to a
 * damaged disk, clear the disk first.
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
