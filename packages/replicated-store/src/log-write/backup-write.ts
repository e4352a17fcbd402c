/**
 * Writes that the primary replicates to this store: they are taken in the order of their stamps, put on the
 * disk, and acknowledged. Also the end of a resync's and a bootstrap's write, as one write is open at a time.
 */

import { type Timestamp, clockOrigin, prependEffects, transition } from '@switchwheel/types';
import { type FrameOf, type Peer, log, send } from '@switchwheel/transport';
import { heldEpoch } from '@switchwheel/election';
import { applyPuts } from '@switchwheel/configuration';
import { notePrimary } from '../leadership/primary-sightings.js';
import { startBackupWrite } from './disk-writes.js';
import { continueResync } from '../resync/learner-resync.js';
import type { StoreEffect, WriteFailed } from '../state/events.js';
import type { BackupWrite } from '../state/open-writes.js';
import { type StoreState, ownId } from '../state/state.js';
import { type Table, isSameLogPosition, withPuts } from '../state/table.js';
import type { StoreTransition } from '../state/transition.js';

/** How many writes may wait; a store that is further behind is resynced. */
const maxQueuedReplications = 16;

/** The reply to the primary: the write is on this disk, or why not. */
const acknowledgement = (
  state: StoreState,
  backupWrite: Pick<BackupWrite, 'replyTo' | 'metadata' | 'logPosition'>,
  ok: boolean,
  text: string,
): StoreEffect =>
  send(backupWrite.replyTo, {
    kind: 'replicated',
    node: ownId(state),
    epoch: backupWrite.logPosition.epoch,
    seq: backupWrite.logPosition.seq,
    metadataEpoch: backupWrite.metadata.epoch,
    ok,
    text,
  });

/** Keeps a write that came while another one is on its way to the disk: without it a learner would have a gap. */
const queueReplication = (
  state: StoreState,
  from: Peer,
  write: FrameOf<'replicate'>,
): StoreState => {
  const isKnown = state.replicationQueue.some(
    ({ frame }) =>
      isSameLogPosition(frame.stamp, write.stamp) && frame.metadata.epoch === write.metadata.epoch,
  );
  return isKnown || state.replicationQueue.length >= maxQueuedReplications
    ? state
    : { ...state, replicationQueue: [...state.replicationQueue, { from, frame: write }] };
};

/** Takes the next write that waits, if there is one and the disk is free. */
const continueReplication = (state: StoreState, now: Timestamp): StoreTransition => {
  const [next, ...rest] = state.replicationQueue;
  if (next === undefined || state.backupWrite !== undefined) return transition(state);
  const taken = onReplicate({ ...state, replicationQueue: rest }, next.from, next.frame, now);
  return prependEffects(taken.effects, continueReplication(taken.state, now));
};

/** The primary replicates a write: it is taken if it follows the last one that is here. */
export const onReplicate = (
  before: StoreState,
  from: Peer,
  write: FrameOf<'replicate'>,
  now: Timestamp,
): StoreTransition => {
  const { metadata } = before;
  if (metadata === undefined || metadata.fleet !== write.metadata.fleet) return transition(before);
  const replicated = { replyTo: from.address, metadata: write.metadata, logPosition: write.stamp };
  if (write.metadata.epoch < metadata.epoch || write.metadata.epoch < heldEpoch(before.candidate))
    return transition(before, acknowledgement(before, replicated, false, 'an older epoch'));
  const state = notePrimary(before, write.metadata, now);
  if (isSameLogPosition(state.logPosition, write.stamp) && metadata.epoch === write.metadata.epoch)
    return transition(state, acknowledgement(state, replicated, true, ''));
  if (state.backupWrite !== undefined) return transition(queueReplication(state, from, write));
  if (state.primaryWrite !== undefined) return transition(state);
  const isRequired = write.metadata.inSyncSet.includes(ownId(state));
  // It may have the write itself already, from before the in-sync set changed.
  const isNext =
    isSameLogPosition(state.logPosition, write.prior) ||
    isSameLogPosition(state.logPosition, write.stamp);
  if (!isNext)
    return transition(
      state,
      ...(isRequired ? [acknowledgement(state, replicated, false, 'a gap')] : []),
    );
  return startBackupWrite(state, {
    startedAt: now,
    purpose: 'replicate',
    ...replicated,
    puts: write.puts,
    logPositionByKey: new Map(),
    commandId: undefined,
  });
};

/** The reply to a bootstrap; none is due if this store was not asked by a command. */
const bootstrapReply = (
  state: StoreState,
  backupWrite: BackupWrite,
  ok: boolean,
  text: string,
): readonly StoreEffect[] => {
  const { commandId: id } = backupWrite;
  if (id === undefined) return [];
  return [send(backupWrite.replyTo, { kind: 'bootstrapped', id, node: ownId(state), ok, text })];
};

/** The table with a write in it; entries of a resync keep the stamps that they have at the primary. */
const tableWith = (
  table: Table,
  {
    puts,
    logPosition,
    logPositionByKey,
  }: Pick<BackupWrite, 'puts' | 'logPosition' | 'logPositionByKey'>,
): Table =>
  logPositionByKey.size === 0
    ? withPuts(table, puts, logPosition)
    : puts.reduce(
        (next, put) => withPuts(next, [put], logPositionByKey.get(put.key) ?? logPosition),
        table,
      );

/** A write that was taken from elsewhere is on this disk: it is acknowledged, and the next one is taken. */
export const onBackupWriteSynced = (
  before: StoreState,
  writeId: number,
  now: Timestamp,
): StoreTransition => {
  const { backupWrite } = before;
  if (backupWrite?.id !== writeId) return transition(before);
  const { metadata, logPosition, purpose } = backupWrite;
  const state: StoreState = {
    ...before,
    backupWrite: undefined,
    mustWipe: false,
    diskFullAt: undefined,
    standDownUntil: clockOrigin,
    metadata,
    diskDamage: '',
    phase: before.phase === 'empty' ? 'member' : before.phase,
    logPosition,
  };
  if (purpose === 'bootstrap')
    return transition(
      state,
      log('info', 'bootstrapped', ['fleet', metadata.fleet]),
      ...bootstrapReply(state, backupWrite, true, ''),
    );
  const next: StoreState = {
    ...state,
    table: tableWith(state.table, backupWrite),
    control: applyPuts(state.control, backupWrite.puts),
  };
  const resumed =
    purpose === 'replicate'
      ? transition(next, acknowledgement(next, backupWrite, true, ''))
      : continueResync(next, now);
  return prependEffects(resumed.effects, continueReplication(resumed.state, now));
};

/** The disk did not take a write that came from elsewhere; what waited behind it is dropped. */
export const onBackupWriteFailed = (
  state: StoreState,
  { writeId, reason, isDiskFull, now }: WriteFailed,
): StoreTransition => {
  const { backupWrite } = state;
  if (backupWrite?.id !== writeId) return transition(state);
  const next: StoreState = {
    ...state,
    backupWrite: undefined,
    resyncQueue: [],
    replicationQueue: [],
    diskFullAt: isDiskFull ? now : state.diskFullAt,
  };
  if (backupWrite.purpose === 'replicate')
    return transition(next, acknowledgement(state, backupWrite, false, reason));
  if (backupWrite.purpose === 'bootstrap' && backupWrite.commandId !== undefined)
    return transition(next, ...bootstrapReply(state, backupWrite, false, reason));
  return transition(next, log('error', 'resync write failed', ['why', reason]));
};
