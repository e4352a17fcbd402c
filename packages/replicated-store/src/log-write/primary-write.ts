/**
 * Life cycle of a primary write: taken from the command queue, written to the primary's own disk, replicated to
 * every in-sync backup, and then committed and confirmed (commit.ts). One write is open at a time.
 */

import { type Timestamp, nextSeq, prependEffects, transition } from '@switchwheel/types';
import { type FrameOf, type LogPosition, log } from '@switchwheel/transport';
import { heldEpoch, holdsLease } from '@switchwheel/election';
import { sendRejection, sendReply } from '../commands/replies.js';
import { isPrimary } from '../leadership/candidacy.js';
import { handOverLeadership, standDownMs } from '../leadership/hand-over.js';
import { abandonOpenWrite, applyLocally, unknownOutcomeReplies } from './abandoned-write.js';
import { recordAcknowledgement, recordRefusal } from './acknowledgements.js';
import { recordShortage, replaceBackups } from './backup-replacement.js';
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
import { recordViolations } from '../state/invariants.js';
import type { PrimaryWrite } from '../state/open-writes.js';
import type { StoreState } from '../state/state.js';
import type { StoreTransition } from '../state/transition.js';

/** Time that a backup may take to acknowledge a write before it is replaced. */
export const replicationTimeoutMs = 400;

/** Time that a write to the own disk may take before the primary releases the lease. */
export const diskTimeoutMs = 700;

/** Interval after which a write is sent again to backups that have not acknowledged it. */
const resendIntervalMs = 150;

/** Retry delay for operators whose command failed because of a disk error. */
const diskRefusedRetryMs = 2000;

/** Maximum silence of a backup that can succeed a primary with a full disk. */
const successorHeardWithinMs = 1000;

/** Opens a write for the queued commands, in queue order, unless one is already open. */
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
  if (commands.length === 0) return transition(lacksReplicas ? recordShortage(state, now) : state);
  const logPosition: LogPosition = {
    epoch: heldEpoch(state.candidate),
    seq: nextSeq(state.logPosition.seq),
  };
  const batch = decideBatch(state, metadata, commands, logPosition.seq, now);
  const { puts, replies, canaryReports, control: controlAfter, electorate } = batch;
  const recorded = recordViolations(batch.state, batch.violations);
  const next: StoreState = { ...recorded.state, commandQueue: [...batch.undecided, ...rest] };
  const effects = [...recorded.effects, ...batch.immediateReplies.map(sendReply)];
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

/** Whether this store holds the lease in the epoch of the open write. */
const holdsLeaseOf = (state: StoreState, primaryWrite: PrimaryWrite, now: Timestamp): boolean =>
  holdsLease(state.candidate, now) && heldEpoch(state.candidate) === primaryWrite.metadata.epoch;

/** Handles the completion of a write to the own disk: replicates the write to the backups. */
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
    return abandonOpenWrite({ ...state, primaryWrite: { ...primaryWrite, phase: 'replicating' } });
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

/** Whether an in-sync backup with free disk space can take over the lease. */
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

/** Handles a failed write to the own disk: the write never takes effect, unless this disk already had it. */
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
    // The disk still has the previous metadata, as it refused the new one.
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
  // Without a successor, reads and feeds continue, and writes are rejected until there is disk space.
  const isEpochWritten = state.isServing && primaryWrite.metadata.epoch === state.metadata?.epoch;
  return transition(
    { ...next, isServing: true, isReadOnly: state.isReadOnly || !isEpochWritten },
    logLine,
    ...rejections,
  );
};

/** Whether an acknowledgement is for the open write with its current metadata. */
const isForOpenWrite = (
  primaryWrite: PrimaryWrite | undefined,
  acknowledgement: FrameOf<'replicated'>,
): primaryWrite is PrimaryWrite =>
  primaryWrite?.phase === 'replicating' &&
  acknowledgement.epoch === primaryWrite.logPosition.epoch &&
  acknowledgement.seq === primaryWrite.logPosition.seq &&
  // An acknowledgement of an earlier epoch does not prove that this epoch's metadata is on that disk.
  acknowledgement.metadataEpoch === primaryWrite.metadata.epoch;

/** Handles a backup's acknowledgement or refusal; commits the write once every in-sync backup acknowledged it. */
export const onReplicated = (
  before: StoreState,
  acknowledgement: FrameOf<'replicated'>,
  now: Timestamp,
): StoreTransition => {
  const { node, ok, text } = acknowledgement;
  const state = ok ? recordAcknowledgement(before, acknowledgement, now) : before;
  const { primaryWrite } = state;
  if (!isForOpenWrite(primaryWrite, acknowledgement)) return transition(state);
  const isRequired = primaryWrite.metadata.inSyncSet.includes(node);
  if (!ok && !isRequired) return transition(state);
  if (!ok)
    return prependEffects(
      [log('warn', 'backup refused a write', ['store', node], ['why', text])],
      replaceBackups(recordRefusal(state, node), [node], now),
    );
  if (!holdsLeaseOf(state, primaryWrite, now)) return transition(state);
  const next: PrimaryWrite = {
    ...primaryWrite,
    acknowledgedBy: new Set([...primaryWrite.acknowledgedBy, node]),
  };
  const isComplete = isRequired && unacknowledgedBackups(state, next).length === 0;
  return isComplete ? commitWrite(state, next, now) : transition({ ...state, primaryWrite: next });
};

/** Replaces late backups and sends the write again to backups that have not acknowledged it. */
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

/** Enforces the timeouts of the open write on the own disk and at the backups. */
export const tickPrimaryWrite = (state: StoreState, now: Timestamp): StoreTransition => {
  const { primaryWrite } = state;
  if (primaryWrite === undefined) return retryMetadata(state, now);
  if (primaryWrite.phase === 'abandoned' || state.candidate.phase.phase !== 'holdingLease')
    return transition(state);
  if (primaryWrite.phase === 'replicating') return tickReplication(state, primaryWrite, now);
  if (now - primaryWrite.phaseStartedAt <= diskTimeoutMs) return transition(state);
  return prependEffects(
    [log('error', 'disk stalled, releasing the primary lease')],
    handOverLeadership(state, standDownMs.stalledDisk, now),
  );
};
