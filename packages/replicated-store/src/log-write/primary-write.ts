/**
 * A write of the primary, from the queue of commands to its end: first it is on the primary's own disk, then
 * on those of all backups in sync, and only then it counts and is acknowledged (commit.ts). One write is open at a time.
 */

import { type Timestamp, nextSeq, prependEffects, transition } from '@switchwheel/types';
import { type FrameOf, type LogPosition, log } from '@switchwheel/transport';
import { heldEpoch, holdsLease } from '@switchwheel/election';
import { sendRejection, sendReply } from '../commands/replies.js';
import { isPrimary } from '../leadership/candidacy.js';
import { handOverLeadership, standDownMs } from '../leadership/hand-over.js';
import { abandon, applyLocally, unknownOutcomeReplies } from './abandoned-write.js';
import { noteAcknowledgement, noteRefusal } from './acknowledgements.js';
import { noteShortage, replaceBackups } from './backup-replacement.js';
import { canaryReplies, commitWrite } from './commit.js';
import { diskWrite, newPrimaryWrite, noAcknowledgements } from './disk-writes.js';
import { retryMetadata } from './epoch-metadata.js';
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

/** What an operator waits before it sends a command again that the disk refused. */
const diskRefusedRetryMs = 2000;

/** How recently a backup must have been heard to take the lease over from a primary whose disk is full. */
const successorHeardWithinMs = 1000;

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
  const logPosition: LogPosition = {
    epoch: heldEpoch(state.candidate),
    seq: nextSeq(state.logPosition.seq),
  };
  const batch = decideBatch(state, metadata, commands, logPosition.seq, now);
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
    { metadata: metadataAfter, logPosition, puts, controlAfter, replies, canaryReports },
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
  if (primaryWrite.phase === 'abandoned') return transition(applyLocally(state, primaryWrite));
  if (primaryWrite.phase !== 'writingToDisk') return transition(state);
  if (!holdsLeaseOf(state, primaryWrite, now))
    return abandon({ ...state, primaryWrite: { ...primaryWrite, phase: 'replicating' } });
  const next: PrimaryWrite = {
    ...primaryWrite,
    phase: 'replicating',
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
  if (primaryWrite.phase === 'abandoned') return transition({ ...state, primaryWrite: undefined });
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
  primaryWrite?.phase === 'replicating' &&
  acknowledgement.epoch === primaryWrite.logPosition.epoch &&
  acknowledgement.seq === primaryWrite.logPosition.seq &&
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
  if (primaryWrite.phase === 'abandoned' || state.candidate.phase.phase !== 'holdingLease')
    return transition(state);
  if (primaryWrite.phase === 'replicating') return tickReplication(state, primaryWrite, now);
  if (now - primaryWrite.phaseStartedAt <= diskTimeoutMs) return transition(state);
  return prependEffects(
    [log('error', 'disk stalled, giving up the lease')],
    handOverLeadership(state, standDownMs.stalledDisk, now),
  );
};
