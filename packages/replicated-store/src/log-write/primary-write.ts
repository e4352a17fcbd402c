/**
 * A write of the primary, from the queue of commands to its end: first it is on the primary's own disk, then
 * on those of all backups in sync, and only then it counts and is acknowledged (commit.ts). One write is open at a time.
 */

import {
  type Timestamp,
  clockOrigin,
  nextSeq,
  prependEffects,
  transition,
} from '@switchwheel/types';
import { type ClusterMetadata, type FrameOf, type LogPosition, log } from '@switchwheel/transport';
import { heldEpoch, holdsLease } from '@switchwheel/election';
import { sendRejection, sendReply } from '../commands/replies.js';
import { isPrimary } from '../leadership/candidacy.js';
import { handOverLeadership } from '../leadership/hand-over.js';
import { abandon, applyLocally, unknownOutcomeReplies } from './abandoned-write.js';
import { noteAcknowledgement, noteRefusal } from './acknowledgements.js';
import { noteShortage, replaceBackups } from './backup-replacement.js';
import { canaryReplies, commitWrite } from './commit.js';
import { diskWrite } from './disk-writes.js';
import {
  replicateTo,
  replicateToAll,
  replicationTargets,
  unacknowledgedBackups,
} from './replication.js';
import { changesNothing, decideBatch, nextBatch } from './write-batch.js';
import type { WriteFailed } from '../state/events.js';
import { noteViolations } from '../state/invariants.js';
import type { PrimaryWrite } from '../state/open-writes.js';
import type { StoreState } from '../state/state.js';
import type { StoreTransition } from '../state/transition.js';

/** How long a backup may take before another store replaces it. */
export const replicationTimeoutMs = 400;

/** How long the own disk may make no progress before the lease is given up. */
export const diskTimeoutMs = 700;

/** How long a backup may be silent before the write is sent to it again. */
const resendIntervalMs = 150;

/** How often a full disk is tried again for the metadata of an epoch. */
const fullDiskRetryMs = 1000;

/** What an operator waits before it sends a command again that the disk refused. */
const diskRefusedRetryMs = 2000;

/** How recently a backup must have been heard to take the lease over from a primary whose disk is full. */
const successorHeardWithinMs = 1000;

/** For how long a store doesn't ask for the lease again, by the reason for which it gave it up. */
const standDownMs = { abandonedWriteOnDisk: 500, stalledDisk: 5000, refusedWrite: 10_000 };

const noAcknowledgements: PrimaryWrite['acknowledgedBy'] = new Set();

/** A new write, about to go to the own disk. */
const newPrimaryWrite = (
  state: StoreState,
  content: Pick<
    PrimaryWrite,
    'metadata' | 'stamp' | 'puts' | 'controlAfter' | 'replies' | 'canaryReports'
  >,
  now: Timestamp,
): PrimaryWrite => ({
  ...content,
  id: state.nextWriteId,
  phase: 'disk',
  isOnOwnDisk: false,
  phaseStartedAt: now,
  lastSentAt: now,
  acknowledgedBy: noAcknowledgements,
  previousStamp: state.stamp,
});

/** Opens a write that changes nothing but the cluster metadata. */
export const writeMetadata = (
  state: StoreState,
  metadata: ClusterMetadata,
  now: Timestamp,
): StoreTransition => {
  const stamp: LogPosition = { epoch: metadata.epoch, seq: nextSeq(state.stamp.seq) };
  const primaryWrite = newPrimaryWrite(
    state,
    { metadata, stamp, puts: [], controlAfter: state.control, replies: [], canaryReports: [] },
    now,
  );
  return transition(
    { ...state, primaryWrite, nextWriteId: state.nextWriteId + 1 },
    diskWrite(primaryWrite),
  );
};

/** Makes one write of the commands that wait, in their order, unless one is open. */
export const startWrite = (state: StoreState, now: Timestamp): StoreTransition => {
  const { metadata } = state;
  if (
    state.primaryWrite !== undefined ||
    metadata === undefined ||
    state.commandQueue.length === 0 ||
    state.isReadOnly ||
    !isPrimary(state, now)
  )
    return transition(state);
  const { commands, rest, lacksReplicas } = nextBatch(state, metadata, now);
  if (commands.length === 0) return transition(lacksReplicas ? noteShortage(state, now) : state);
  const stamp: LogPosition = { epoch: heldEpoch(state.candidate), seq: nextSeq(state.stamp.seq) };
  const batch = decideBatch(state, metadata, commands, stamp.seq, now);
  const { puts, replies, canaryReports, control: controlAfter, electorate } = batch;
  const noted = noteViolations(batch.state, batch.violations);
  const next: StoreState = { ...noted.state, commandQueue: [...batch.undecided, ...rest] };
  const effects = [...noted.effects, ...batch.immediateReplies.map(sendReply)];
  if (changesNothing(batch, metadata))
    return transition(
      next,
      ...effects,
      ...canaryReports.flatMap((report) => canaryReplies(controlAfter, report)),
    );
  const metadataAfter = electorate === metadata.electorate ? metadata : { ...metadata, electorate };
  const primaryWrite = newPrimaryWrite(
    state,
    { metadata: metadataAfter, stamp, puts, controlAfter, replies, canaryReports },
    now,
  );
  return transition(
    { ...next, primaryWrite, nextWriteId: state.nextWriteId + 1 },
    ...effects,
    diskWrite(primaryWrite),
  );
};

/** Whether this store holds the lease under whose epoch a write is open. */
const holdsLeaseOf = (state: StoreState, primaryWrite: PrimaryWrite, now: Timestamp): boolean =>
  holdsLease(state.candidate, now) && heldEpoch(state.candidate) === primaryWrite.metadata.epoch;

/** The own disk has the write: the backups are next, all in sync must have it too. */
export const onPrimaryWriteSynced = (
  state: StoreState,
  writeId: number,
  now: Timestamp,
): StoreTransition => {
  const { primaryWrite } = state;
  if (primaryWrite?.id !== writeId) return transition(state);
  if (primaryWrite.phase === 'orphan') return transition(applyLocally(state, primaryWrite));
  if (primaryWrite.phase !== 'disk') return transition(state);
  if (!holdsLeaseOf(state, primaryWrite, now))
    return abandon({ ...state, primaryWrite: { ...primaryWrite, phase: 'copy' } });
  const next: PrimaryWrite = {
    ...primaryWrite,
    phase: 'copy',
    isOnOwnDisk: true,
    acknowledgedBy: noAcknowledgements,
    phaseStartedAt: now,
    lastSentAt: now,
  };
  const isComplete = unacknowledgedBackups(state, next).length === 0;
  if (isComplete)
    return prependEffects(replicateToAll(state, next, now), commitWrite(state, next, now));
  return transition({ ...state, primaryWrite: next }, ...replicateToAll(state, next, now));
};

/** Whether a backup that is in sync can take the lease over and has room on its disk. */
const hasSuccessorWithRoom = (
  state: StoreState,
  primaryWrite: PrimaryWrite,
  now: Timestamp,
): boolean =>
  [...state.peers.values()].some(
    (peer) =>
      primaryWrite.metadata.inSyncSet.includes(peer.node) &&
      !peer.isDiskFull &&
      !peer.isStopping &&
      now - peer.heardAt < successorHeardWithinMs,
  );

/** The own disk did not take the write: it never takes effect, unless this disk has had it since before. */
export const onPrimaryWriteFailed = (
  state: StoreState,
  { writeId, reason, isDiskFull, now }: WriteFailed,
): StoreTransition => {
  const { primaryWrite } = state;
  if (primaryWrite?.id !== writeId) return transition(state);
  if (primaryWrite.phase === 'orphan') return transition({ ...state, primaryWrite: undefined });
  const rejections = primaryWrite.isOnOwnDisk
    ? unknownOutcomeReplies(primaryWrite.replies)
    : primaryWrite.replies.map((reply) =>
        sendRejection(reply, `the disk took nothing: ${reason}`, diskRefusedRetryMs),
      );
  const next: StoreState = {
    ...(primaryWrite.isOnOwnDisk ? applyLocally(state, primaryWrite) : state),
    // The disk has the write under the metadata from before: it refused the newer one.
    metadata: state.metadata,
    primaryWrite: undefined,
    diskFullAt: isDiskFull ? now : state.diskFullAt,
  };
  const logLine = log('error', 'write to disk failed', ['why', reason]);
  if (!isDiskFull || hasSuccessorWithRoom(state, primaryWrite, now))
    return prependEffects(
      [logLine, ...rejections],
      handOverLeadership(next, standDownMs.refusedWrite, now),
    );
  // Without a successor reads and feeds go on, and writes are rejected until there is room.
  const isEpochWritten = state.isServing && primaryWrite.metadata.epoch === state.metadata?.epoch;
  return transition(
    { ...next, isServing: true, isReadOnly: state.isReadOnly || !isEpochWritten },
    logLine,
    ...rejections,
  );
};

/** Whether an acknowledgement is for the open write, under the metadata that it has now. */
const isForOpenWrite = (
  primaryWrite: PrimaryWrite | undefined,
  acknowledgement: FrameOf<'replicated'>,
): primaryWrite is PrimaryWrite =>
  primaryWrite?.phase === 'copy' &&
  acknowledgement.epoch === primaryWrite.stamp.epoch &&
  acknowledgement.seq === primaryWrite.stamp.seq &&
  // One under an earlier epoch does not show that this epoch's metadata is on that disk.
  acknowledgement.metadataEpoch === primaryWrite.metadata.epoch;

/** A backup acknowledged or refused a write: once all in sync have it, it is committed. */
export const onReplicated = (
  before: StoreState,
  acknowledgement: FrameOf<'replicated'>,
  now: Timestamp,
): StoreTransition => {
  const { node, ok, text } = acknowledgement;
  const state = ok ? noteAcknowledgement(before, acknowledgement, now) : before;
  const { primaryWrite } = state;
  if (!isForOpenWrite(primaryWrite, acknowledgement)) return transition(state);
  const isRequired = primaryWrite.metadata.inSyncSet.includes(node);
  if (!ok && !isRequired) return transition(state);
  if (!ok)
    return prependEffects(
      [log('warn', 'backup refused a write', ['store', node], ['why', text])],
      replaceBackups(noteRefusal(state, node), [node], now),
    );
  if (!holdsLeaseOf(state, primaryWrite, now)) return transition(state);
  const next: PrimaryWrite = {
    ...primaryWrite,
    acknowledgedBy: new Set([...primaryWrite.acknowledgedBy, node]),
  };
  const isComplete = isRequired && unacknowledgedBackups(state, next).length === 0;
  return isComplete ? commitWrite(state, next, now) : transition({ ...state, primaryWrite: next });
};

/** The metadata of the epoch that this store was granted. */
const metadataOfLease = (state: StoreState, metadata: ClusterMetadata): ClusterMetadata => ({
  ...metadata,
  epoch: heldEpoch(state.candidate),
  inSyncSet: [...state.candidate.inSyncSet],
});

/** A primary whose full disk didn't take the metadata of its epoch tries it again now and then. */
const retryMetadata = (state: StoreState, now: Timestamp): StoreTransition => {
  if (
    !state.isReadOnly ||
    state.metadata === undefined ||
    state.candidate.phase.phase !== 'holdingLease' ||
    now - (state.diskFullAt ?? clockOrigin) < fullDiskRetryMs
  )
    return transition(state);
  return writeMetadata({ ...state, diskFullAt: now }, metadataOfLease(state, state.metadata), now);
};

/** Replaces backups that are late, and sends the write again to those that have yet to acknowledge it. */
const tickReplication = (
  state: StoreState,
  primaryWrite: PrimaryWrite,
  now: Timestamp,
): StoreTransition => {
  const missing = unacknowledgedBackups(state, primaryWrite);
  const isLate = now - primaryWrite.phaseStartedAt > replicationTimeoutMs;
  const replaced: StoreTransition = isLate
    ? replaceBackups(state, missing, now)
    : transition(state);
  const open = replaced.state.primaryWrite;
  if (
    open === undefined ||
    replaced.state.candidate.phase.phase !== 'holdingLease' ||
    now - open.lastSentAt <= resendIntervalMs
  )
    return replaced;
  const targets = replicationTargets(replaced.state, open.metadata, now).filter((store) =>
    missing.includes(store.node),
  );
  const resent: StoreState = { ...replaced.state, primaryWrite: { ...open, lastSentAt: now } };
  return transition(resent, ...replaced.effects, ...replicateTo(open, targets));
};

/** Bounds the time that an open write takes, on the own disk and at the backups. */
export const tickPrimaryWrite = (state: StoreState, now: Timestamp): StoreTransition => {
  const { primaryWrite } = state;
  if (primaryWrite === undefined) return retryMetadata(state, now);
  if (primaryWrite.phase === 'orphan' || state.candidate.phase.phase !== 'holdingLease')
    return transition(state);
  if (primaryWrite.phase === 'copy') return tickReplication(state, primaryWrite, now);
  if (now - primaryWrite.phaseStartedAt <= diskTimeoutMs) return transition(state);
  return prependEffects(
    [log('error', 'disk stalled, giving up the lease')],
    handOverLeadership(state, standDownMs.stalledDisk, now),
  );
};

/** This store won the lease: the metadata of its epoch is written before anything else. */
export const onElected = (state: StoreState, now: Timestamp): StoreTransition => {
  const { metadata, primaryWrite } = state;
  if (metadata === undefined) return transition(state);
  if (primaryWrite?.phase === 'orphan')
    return handOverLeadership(state, standDownMs.abandonedWriteOnDisk, now);
  const metadataOfEpoch = metadataOfLease(state, metadata);
  if (primaryWrite === undefined || !state.isServing)
    return writeMetadata({ ...state, primaryWrite: undefined }, metadataOfEpoch, now);
  // A write was open when the in-sync set changed: it goes on under the new metadata.
  const next: PrimaryWrite = {
    ...primaryWrite,
    id: state.nextWriteId,
    metadata: { ...metadataOfEpoch, electorate: primaryWrite.metadata.electorate },
    phase: 'disk',
    phaseStartedAt: now,
  };
  return transition(
    { ...state, primaryWrite: next, nextWriteId: state.nextWriteId + 1 },
    diskWrite(next),
  );
};
