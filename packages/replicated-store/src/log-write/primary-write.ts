/**
 * A write of the primary, from the queue of commands to its end: first it is on the primary's own disk, then
 * on those of all backups in sync, and only then it counts and is acknowledged (commit.ts). One write is open at a time.
 */

import {
  type Invariant,
  type Timestamp,
  clockOrigin,
  nextSeq,
  prependEffects,
  transition,
} from '@switchwheel/types';
import {
  type ClusterMetadata,
  type FrameOf,
  type LogPosition,
  type TableMutation,
  log,
} from '@switchwheel/transport';
import { heldEpoch, holdsLease } from '@switchwheel/election';
import { applyPuts } from '@switchwheel/configuration';
import type { CommandReply } from '../commands/command.js';
import { decide } from '../commands/decide.js';
import { sendReply } from '../commands/queue.js';
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
import { maxBatchCharacters, nextBatch } from './write-batch.js';
import { noteViolations } from '../state/invariants.js';
import type { PrimaryWrite } from '../state/open-writes.js';
import type { StoreState } from '../state/state.js';
import type { StoreTransition } from '../state/transition.js';

/** How long a backup may take before another store replaces it. */
export const replicationTimeoutMs = 400;

/** How long the own disk may make no progress before the duty is given up. */
export const diskTimeoutMs = 700;

const resendIntervalMs = 150;

/** How often a full disk is tried again for the metadata of a holding. */
const fullDiskRetryMs = 1000;

const noAcknowledgements: PrimaryWrite['acknowledgedBy'] = new Set();

/** Opens a write with nothing in it but a metadata. */
export const writeMetadata = (
  state: StoreState,
  metadata: ClusterMetadata,
  now: Timestamp,
): StoreTransition => {
  const stamp: LogPosition = { epoch: metadata.epoch, seq: nextSeq(state.stamp.seq) };
  const primaryWrite: PrimaryWrite = {
    id: state.nextWriteId,
    phase: 'disk',
    isOnOwnDisk: false,
    phaseStartedAt: now,
    lastSentAt: now,
    metadata,
    acknowledgedBy: noAcknowledgements,
    stamp,
    previousStamp: state.stamp,
    puts: [],
    controlAfter: state.control,
    replies: [],
    canaryReports: [],
  };
  return transition(
    { ...state, primaryWrite, nextWriteId: state.nextWriteId + 1 },
    diskWrite(primaryWrite.id, metadata, stamp, []),
  );
};

/** Takes what waits, in its order, and makes one write of it. */
export const startWrite = (state: StoreState, now: Timestamp): StoreTransition => {
  const metadata = state.metadata;
  if (
    state.primaryWrite !== undefined ||
    metadata === undefined ||
    state.commandQueue.length === 0 ||
    state.isReadOnly ||
    !isPrimary(state, now)
  )
    return transition(state);
  const { commands: batch, rest, lacksReplicas } = nextBatch(state, metadata, now);
  if (batch.length === 0) return transition(lacksReplicas ? noteShortage(state, now) : state);
  const stamp: LogPosition = { epoch: heldEpoch(state.candidate), seq: nextSeq(state.stamp.seq) };
  let draft = state.control;
  let electorate = metadata.electorate;
  let next = state;
  const puts: TableMutation[] = [];
  const results: CommandReply[] = [];
  const rejections: CommandReply[] = [];
  const violations: Invariant[] = [];
  const tried: PrimaryWrite['canaryReports'][number][] = [];
  let taken = 0;
  let characters = 0;
  for (const command of batch) {
    if (characters >= maxBatchCharacters) break;
    taken += 1;
    const decision = decide(next, draft, command, stamp.seq, now);
    draft = applyPuts(draft, decision.puts);
    puts.push(...decision.puts);
    for (const one of decision.puts) characters += one.data?.length ?? 0;
    results.push(...decision.repliesAfterWrite);
    rejections.push(...decision.immediateReplies);
    electorate = decision.electorate ?? electorate;
    violations.push(...(decision.violations ?? []));
    if (command.kind === 'recordCanary') tried.push({ to: command.to, report: command.report });
    if (command.kind === 'advanceRollout')
      next = {
        ...next,
        targetStatusSeen: decision.seen ?? next.targetStatusSeen,
        rolloutOpenedAt: decision.opened,
      };
  }
  const noted = noteViolations(next, violations);
  next = { ...noted.state, commandQueue: [...batch.slice(taken), ...rest] };
  const told = [...noted.effects, ...rejections.map(sendReply)];
  if (puts.length === 0 && results.length === 0 && electorate === metadata.electorate) {
    return transition(next, ...told, ...tried.flatMap((one) => canaryReplies(draft, one)));
  }
  const primaryWrite: PrimaryWrite = {
    id: state.nextWriteId,
    phase: 'disk',
    isOnOwnDisk: false,
    phaseStartedAt: now,
    lastSentAt: now,
    acknowledgedBy: noAcknowledgements,
    stamp,
    previousStamp: state.stamp,
    puts,
    controlAfter: draft,
    replies: results,
    canaryReports: tried,
    metadata: electorate === metadata.electorate ? metadata : { ...metadata, electorate },
  };
  return transition(
    { ...next, primaryWrite, nextWriteId: state.nextWriteId + 1 },
    ...told,
    diskWrite(primaryWrite.id, primaryWrite.metadata, stamp, puts),
  );
};

/** The own disk has the write: the backups are next, those in sync must have it too. */
export const onPrimaryWriteSynced = (
  state: StoreState,
  writeId: number,
  now: Timestamp,
): StoreTransition => {
  const primaryWrite = state.primaryWrite;
  if (primaryWrite?.id !== writeId) return transition(state);
  if (primaryWrite.phase === 'orphan') return transition(applyLocally(state, primaryWrite));
  if (primaryWrite.phase !== 'disk') return transition(state);
  if (
    !holdsLease(state.candidate, now) ||
    heldEpoch(state.candidate) !== primaryWrite.metadata.epoch
  ) {
    return abandon({ ...state, primaryWrite: { ...primaryWrite, phase: 'copy' } });
  }
  const next: PrimaryWrite = {
    ...primaryWrite,
    phase: 'copy',
    isOnOwnDisk: true,
    acknowledgedBy: noAcknowledgements,
    phaseStartedAt: now,
    lastSentAt: now,
  };
  const whole = unacknowledgedBackups(state, next).length === 0;
  if (whole) return prependEffects(replicateToAll(state, next, now), commitWrite(state, next, now));
  return transition({ ...state, primaryWrite: next }, ...replicateToAll(state, next, now));
};

/** The own disk did not take the write: it never takes effect, unless this disk has had it since before. */
export const onPrimaryWriteFailed = (
  state: StoreState,
  writeId: number,
  reason: string,
  isDiskFull: boolean,
  now: Timestamp,
): StoreTransition => {
  const primaryWrite = state.primaryWrite;
  if (primaryWrite?.id !== writeId) return transition(state);
  if (primaryWrite.phase === 'orphan') return transition({ ...state, primaryWrite: undefined });
  const rejected = primaryWrite.isOnOwnDisk
    ? unknownOutcomeReplies(primaryWrite.replies)
    : primaryWrite.replies.map((one) =>
        sendReply({
          ...one,
          status: 503,
          body: JSON.stringify({
            kind: 'rejected',
            id: one.id,
            text: `the disk took nothing: ${reason}`,
            retryAfterMs: 2000,
          }),
        }),
      );
  const next: StoreState = {
    ...(primaryWrite.isOnOwnDisk ? applyLocally(state, primaryWrite) : state),
    // The disk has the write under the metadata from before: it refused the newer one.
    metadata: state.metadata,
    primaryWrite: undefined,
    diskFullAt: isDiskFull ? now : state.diskFullAt,
  };
  const words = log('error', 'the disk refused a write', ['why', reason]);
  const heir = [...state.peers.values()].some(
    (one) =>
      primaryWrite.metadata.inSyncSet.includes(one.node) &&
      !one.isDiskFull &&
      !one.isStopping &&
      now - one.heardAt < 1000,
  );
  // With a peer in sync whose disk has room the duty goes to it.
  if (!isDiskFull || heir)
    return prependEffects([words, ...rejected], handOverLeadership(next, 10_000, now));
  // Otherwise reads and pushes go on, and writes are rejected until there is room.
  const written = state.isServing && primaryWrite.metadata.epoch === state.metadata?.epoch;
  return transition(
    { ...next, isServing: true, isReadOnly: state.isReadOnly || !written },
    words,
    ...rejected,
  );
};

/** A backup answered a copy: once all in sync have it the write counts. */
export const onReplicated = (
  before: StoreState,
  acknowledgement: FrameOf<'replicated'>,
  now: Timestamp,
): StoreTransition => {
  const state = acknowledgement.ok ? noteAcknowledgement(before, acknowledgement, now) : before;
  const primaryWrite = state.primaryWrite;
  // An acknowledgement under an earlier epoch does not show that this epoch's metadata is on that disk.
  if (
    primaryWrite?.phase !== 'copy' ||
    acknowledgement.epoch !== primaryWrite.stamp.epoch ||
    acknowledgement.seq !== primaryWrite.stamp.seq ||
    acknowledgement.metadataEpoch !== primaryWrite.metadata.epoch
  )
    return transition(state);
  const isRequired = primaryWrite.metadata.inSyncSet.includes(acknowledgement.node);
  if (!acknowledgement.ok && !isRequired) return transition(state);
  if (!acknowledgement.ok)
    return prependEffects(
      [
        log(
          'warn',
          'a backup did not take a write',
          ['store', acknowledgement.node],
          ['why', acknowledgement.text],
        ),
      ],
      replaceBackups(noteRefusal(state, acknowledgement.node), [acknowledgement.node], now),
    );
  if (
    !holdsLease(state.candidate, now) ||
    heldEpoch(state.candidate) !== primaryWrite.metadata.epoch
  )
    return transition(state);
  const next: PrimaryWrite = {
    ...primaryWrite,
    acknowledgedBy: new Set([...primaryWrite.acknowledgedBy, acknowledgement.node]),
  };
  const whole = isRequired && unacknowledgedBackups(state, next).length === 0;
  return whole ? commitWrite(state, next, now) : transition({ ...state, primaryWrite: next });
};

/** Lets time pass over a write. */
export const tickPrimaryWrite = (state: StoreState, now: Timestamp): StoreTransition => {
  const primaryWrite = state.primaryWrite;
  if (
    primaryWrite === undefined &&
    state.isReadOnly &&
    state.metadata !== undefined &&
    state.candidate.phase.phase === 'holdingLease'
  ) {
    if (now - (state.diskFullAt ?? clockOrigin) < fullDiskRetryMs) return transition(state);
    return writeMetadata(
      { ...state, diskFullAt: now },
      {
        ...state.metadata,
        epoch: heldEpoch(state.candidate),
        inSyncSet: [...state.candidate.inSyncSet],
      },
      now,
    );
  }
  if (primaryWrite === undefined) return transition(state);
  if (primaryWrite.phase === 'orphan') return transition(state);
  if (primaryWrite.phase === 'disk') {
    if (
      now - primaryWrite.phaseStartedAt <= diskTimeoutMs ||
      state.candidate.phase.phase !== 'holdingLease'
    )
      return transition(state);
    return prependEffects(
      [log('error', 'the disk makes no progress; giving the duty up')],
      handOverLeadership(state, 5000, now),
    );
  }
  if (state.candidate.phase.phase !== 'holdingLease') return transition(state);
  const late = unacknowledgedBackups(state, primaryWrite);
  const isLate = now - primaryWrite.phaseStartedAt > replicationTimeoutMs;
  const replaced: StoreTransition = isLate ? replaceBackups(state, late, now) : transition(state);
  const open = replaced.state.primaryWrite;
  if (
    open === undefined ||
    replaced.state.candidate.phase.phase !== 'holdingLease' ||
    now - open.lastSentAt <= resendIntervalMs
  )
    return replaced;
  const again = replicationTargets(replaced.state, open.metadata, now).filter((one) =>
    late.includes(one.node),
  );
  const resent: StoreState = { ...replaced.state, primaryWrite: { ...open, lastSentAt: now } };
  return transition(resent, ...replaced.effects, ...replicateTo(open, again));
};

/** This store won: the metadata of its holding is written before anything else. */
export const onElected = (state: StoreState, now: Timestamp): StoreTransition => {
  const metadata = state.metadata;
  if (metadata === undefined) return transition(state);
  const own: ClusterMetadata = {
    ...metadata,
    epoch: heldEpoch(state.candidate),
    inSyncSet: [...state.candidate.inSyncSet],
  };
  const primaryWrite = state.primaryWrite;
  if (primaryWrite?.phase === 'orphan') return handOverLeadership(state, 500, now);
  if (primaryWrite !== undefined && state.isServing) {
    // A write was under way when the in-sync set changed: it goes on under the new metadata.
    const next: PrimaryWrite = {
      ...primaryWrite,
      id: state.nextWriteId,
      metadata: { ...own, electorate: primaryWrite.metadata.electorate },
      phase: 'disk',
      phaseStartedAt: now,
    };
    return transition(
      { ...state, primaryWrite: next, nextWriteId: state.nextWriteId + 1 },
      diskWrite(next.id, next.metadata, next.stamp, next.puts),
    );
  }
  return writeMetadata({ ...state, primaryWrite: undefined }, own, now);
};
