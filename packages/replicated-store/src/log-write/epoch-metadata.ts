/**
 * Cluster metadata of a new epoch: a store that acquired the lease writes it first, and a primary whose disk was
 * full retries it.
 */

import { type Timestamp, clockOrigin, nextSeq, transition } from '@switchwheel/types';
import type { ClusterMetadata, LogPosition } from '@switchwheel/transport';
import { heldEpoch } from '@switchwheel/election';
import { handOverLeadership, standDownMs } from '../leadership/hand-over.js';
import { diskWrite, newPrimaryWrite } from './disk-writes.js';
import type { PrimaryWrite } from '../state/open-writes.js';
import type { StoreState } from '../state/state.js';
import type { StoreTransition } from '../state/transition.js';

/** Interval between attempts to write the metadata of an epoch to a full disk. */
const fullDiskRetryMs = 1000;

/** Opens a write that changes only the cluster metadata. */
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

/** Cluster metadata for the epoch in which this store holds the lease. */
const metadataOfLease = (state: StoreState, metadata: ClusterMetadata): ClusterMetadata => ({
  ...metadata,
  epoch: heldEpoch(state.candidate),
  inSyncSet: [...state.candidate.inSyncSet],
});

/** Retries the metadata write of a read-only primary at a fixed interval. */
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

/** Handles the acquisition of the lease: writes the metadata of the new epoch before any other write. */
export const onElected = (state: StoreState, now: Timestamp): StoreTransition => {
  const { metadata, primaryWrite } = state;
  if (metadata === undefined) return transition(state);
  if (primaryWrite?.phase === 'abandoned')
    return handOverLeadership(state, standDownMs.abandonedWriteOnDisk, now);
  const metadataOfEpoch = metadataOfLease(state, metadata);
  if (primaryWrite === undefined || !state.isServing)
    return writeMetadata({ ...state, primaryWrite: undefined }, metadataOfEpoch, now);
  // The write was open when the in-sync set changed: it continues under the new metadata.
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
