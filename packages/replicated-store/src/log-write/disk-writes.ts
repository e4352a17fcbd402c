/**
 * The effects that put a write on this store's own disk, as primary and as backup.
 */

import { transition } from '@switchwheel/types';
import type { ClusterMetadata, LogPosition, TableMutation } from '@switchwheel/transport';
import type { StoreEffect } from '../state/events.js';
import type { BackupWrite } from '../state/open-writes.js';
import type { StoreState } from '../state/state.js';
import type { StoreTransition } from '../state/transition.js';

export const diskWrite = (
  id: number,
  metadata: ClusterMetadata,
  stamp: LogPosition,
  puts: readonly TableMutation[],
): StoreEffect => ({
  kind: 'writeToDisk',
  write: {
    id,
    metadata,
    stamp,
    wipesFirst: false,
    entries: puts.flatMap(({ key, data }) => (data === null ? [] : [{ key, stamp, data }])),
    deletedKeys: puts.flatMap(({ key, data }) => (data === null ? [key] : [])),
  },
});

export const startBackupWrite = (
  state: StoreState,
  backupWrite: Omit<BackupWrite, 'id'>,
  wipe: boolean,
): StoreTransition => {
  const own: BackupWrite = { ...backupWrite, id: state.nextWriteId };
  const sets = own.puts.flatMap(({ key, data }) =>
    data === null ? [] : [{ key, data, stamp: own.stamps.get(key) ?? own.stamp }],
  );
  const drops = own.puts.flatMap(({ key, data }) => (data === null ? [key] : []));
  return transition(
    { ...state, backupWrite: own, nextWriteId: state.nextWriteId + 1 },
    {
      kind: 'writeToDisk',
      write: {
        id: own.id,
        metadata: own.metadata,
        stamp: own.stamp,
        entries: sets,
        deletedKeys: drops,
        wipesFirst: wipe || state.mustWipe,
      },
    },
  );
};
