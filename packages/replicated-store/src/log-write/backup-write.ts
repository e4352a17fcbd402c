/**
 * Writes that the primary replicates to this store: accepted in the order of their log positions, written to disk
 * and acknowledged. Also completes the writes of a resync or bootstrap, as only one write is open at a time.
 */

import { type Timestamp, clockOrigin, prependEffects, transition } from '@switchwheel/types';
import { type FrameOf, type Peer, log, send } from '@switchwheel/transport';
import { heldEpoch } from '@switchwheel/election';
import { applyPuts } from '@switchwheel/configuration';
import { observePrimary } from '../leadership/primary-sightings.js';
import { startBackupWrite } from './disk-writes.js';
import { continueResync } from '../resync/learner-resync.js';
import type { StoreEffect, WriteFailed } from '../state/events.js';
import type { BackupWrite } from '../state/open-writes.js';
import { type StoreState, ownId } from '../state/state.js';
import { type Table, isSameLogPosition, withPuts } from '../state/table.js';
import type { StoreTransition } from '../state/transition.js';

/** Maximum number of queued writes; a store that falls further behind is resynced. */
const maxQueuedReplications = 16;

/** Reply to the primary that the write is on this disk, or the reason why it is not. */
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

/** Queues a write received while another one is being written; dropping it would leave a gap at a learner. */
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

/** Starts the next queued write if no other write is open. */
const continueReplication = (state: StoreState, now: Timestamp): StoreTransition => {
  const [next, ...rest] = state.replicationQueue;
  if (next === undefined || state.backupWrite !== undefined) return transition(state);
  const replicated = onReplicate({ ...state, replicationQueue: rest }, next.from, next.frame, now);
  return prependEffects(replicated.effects, continueReplication(replicated.state, now));
};

/** Handles a replicated write: accepts it if it directly follows the last write of this store. */
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
  const state = observePrimary(before, write.metadata, now);
  if (isSameLogPosition(state.logPosition, write.stamp) && metadata.epoch === write.metadata.epoch)
    return transition(state, acknowledgement(state, replicated, true, ''));
  if (state.backupWrite !== undefined) return transition(queueReplication(state, from, write));
  if (state.primaryWrite !== undefined) return transition(state);
  const isRequired = write.metadata.inSyncSet.includes(ownId(state));
  // The store may already have this write from before the in-sync set changed.
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

/** Reply to a bootstrap request; none if the write has no command id. */
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

/** Table with a write applied; entries of a resync keep their log positions from the primary. */
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

/** Handles the completion of a backup write: acknowledges it and starts the next one. */
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
      log('info', 'fleet bootstrapped on this store', ['fleet', metadata.fleet]),
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

/** Handles a failed backup write; queued writes are dropped. */
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
