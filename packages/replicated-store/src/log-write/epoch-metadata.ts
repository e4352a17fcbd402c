/**
 * The cluster metadata of a new epoch: a store that won the lease writes it before anything else, and a primary
 * whose disk had no room for it tries again.
 */

import { type Timestamp, clockOrigin, nextSeq, transition } from '@switchwheel/types';
import type { ClusterMetadata, LogPosition } from '@switchwheel/transport';
import { heldEpoch } from '@switchwheel/election';
import { handOverLeadership, standDownMs } from '../leadership/hand-over.js';
import { diskWrite, newPrimaryWrite } from './disk-writes.js';
import type { PrimaryWrite } from '../state/open-writes.js';
import type { StoreState } from '../state/state.js';
import type { StoreTransition } from '../state/transition.js';

/** How often a full disk is tried again for the metadata of an epoch. */
const fullDiskRetryMs = 1000;

/** Opens a write that changes nothing but the cluster metadata. */
export const writeMetadata = (
  state: StoreState,
  metadata: ClusterMetadata,
  now: Timestamp,
): StoreTransition => {
  const logPosition: LogPosition = { epoch: metadata.epoch, seq: nextSeq(state.logPosition.seq) };
  const primaryWrite = newPrimaryWrite(
    state,
    {
      metadata,
      logPosition,
      puts: [],
      controlAfter: state.control,
      replies: [],
      canaryReports: [],
    },
    now,
  );
  return transition(
    { ...state, primaryWrite, nextWriteId: state.nextWriteId + 1 },
    diskWrite(primaryWrite),
  );
};

/** The metadata of the epoch that this store was granted. */
const metadataOfLease = (state: StoreState, metadata: ClusterMetadata): ClusterMetadata => ({
  ...metadata,
  epoch: heldEpoch(state.candidate),
  inSyncSet: [...state.candidate.inSyncSet],
});

/** A primary whose full disk didn't take the metadata of its epoch tries it again now and then. */
export const retryMetadata = (state: StoreState, now: Timestamp): StoreTransition => {
  if (
    !state.isReadOnly ||
    state.metadata === undefined ||
    state.candidate.phase.phase !== 'holdingLease' ||
    now - (state.diskFullAt ?? clockOrigin) < fullDiskRetryMs
  )
    return transition(state);
  return writeMetadata({ ...state, diskFullAt: now }, metadataOfLease(state, state.metadata), now);
};

/** This store won the lease: the metadata of its epoch is written before anything else. */
export const onElected = (state: StoreState, now: Timestamp): StoreTransition => {
  const { metadata, primaryWrite } = state;
  if (metadata === undefined) return transition(state);
  if (primaryWrite?.phase === 'abandoned')
    return handOverLeadership(state, standDownMs.abandonedWriteOnDisk, now);
  const metadataOfEpoch = metadataOfLease(state, metadata);
  if (primaryWrite === undefined || !state.isServing)
    return writeMetadata({ ...state, primaryWrite: undefined }, metadataOfEpoch, now);
  // A write was open when the in-sync set changed: it goes on under the new metadata.
  const next: PrimaryWrite = {
    ...primaryWrite,
    id: state.nextWriteId,
    metadata: { ...metadataOfEpoch, electorate: primaryWrite.metadata.electorate },
    phase: 'writingToDisk',
    phaseStartedAt: now,
  };
  return transition(
    { ...state, primaryWrite: next, nextWriteId: state.nextWriteId + 1 },
    diskWrite(next),
  );
};
