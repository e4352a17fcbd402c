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
import type { StoreEffect } from '../state/events.js';
import type { BackupWrite } from '../state/open-writes.js';
import { type StoreState, ownId } from '../state/state.js';
import { isSameStamp, withPuts } from '../state/table.js';
import type { StoreTransition } from '../state/transition.js';

const maxQueuedReplications = 16;

const acknowledgement = (
  state: StoreState,
  backupWrite: Pick<BackupWrite, 'replyTo' | 'metadata' | 'stamp'>,
  ok: boolean,
  text: string,
): StoreEffect =>
  send(backupWrite.replyTo, {
    kind: 'replicated',
    node: ownId(state),
    epoch: backupWrite.stamp.epoch,
    seq: backupWrite.stamp.seq,
    metadataEpoch: backupWrite.metadata.epoch,
    ok,
    text,
  });

/** Keeps a write that came while another one is on its way to the disk: a learner would have a gap else. */
const queueReplication = (
  state: StoreState,
  from: Peer,
  write: FrameOf<'replicate'>,
): StoreState => {
  const isKnown = state.replicationQueue.some(
    (one) =>
      isSameStamp(one.frame.stamp, write.stamp) &&
      one.frame.metadata.epoch === write.metadata.epoch,
  );
  return isKnown || state.replicationQueue.length >= maxQueuedReplications
    ? state
    : { ...state, replicationQueue: [...state.replicationQueue, { from, frame: write }] };
};

/** Takes the next write that waits, if there is one. */
const continueReplication = (state: StoreState, now: Timestamp): StoreTransition => {
  const [next, ...rest] = state.replicationQueue;
  if (next === undefined || state.backupWrite !== undefined) return transition(state);
  const taken = onReplicate({ ...state, replicationQueue: rest }, next.from, next.frame, now);
  return prependEffects(taken.effects, continueReplication(taken.state, now));
};

/** The primary copies a write here. */
export const onReplicate = (
  before: StoreState,
  from: Peer,
  write: FrameOf<'replicate'>,
  now: Timestamp,
): StoreTransition => {
  const metadata = before.metadata;
  if (metadata === undefined || metadata.fleet !== write.metadata.fleet) return transition(before);
  const wanted = { replyTo: from.address, metadata: write.metadata, stamp: write.stamp };
  if (write.metadata.epoch < metadata.epoch || write.metadata.epoch < heldEpoch(before.candidate))
    return transition(before, acknowledgement(before, wanted, false, 'an older epoch'));
  const state = notePrimary(before, write.metadata, now);
  if (isSameStamp(state.stamp, write.stamp) && metadata.epoch === write.metadata.epoch)
    return transition(state, acknowledgement(state, wanted, true, ''));
  if (state.backupWrite !== undefined) return transition(queueReplication(state, from, write));
  if (state.primaryWrite !== undefined) return transition(state);
  const required = write.metadata.inSyncSet.includes(ownId(state));
  // It may have the write itself already, from before the in-sync set changed.
  const next = isSameStamp(state.stamp, write.prior) || isSameStamp(state.stamp, write.stamp);
  if (!next)
    return transition(state, ...(required ? [acknowledgement(state, wanted, false, 'a gap')] : []));
  return startBackupWrite(
    state,
    {
      startedAt: now,
      purpose: 'replicate',
      ...wanted,
      puts: write.puts,
      stamps: new Map(),
      commandId: undefined,
    },
    false,
  );
};

/** A mend or a copy lasts on this disk. */
export const onBackupWriteSynced = (
  state: StoreState,
  writeId: number,
  now: Timestamp,
): StoreTransition => {
  const backupWrite = state.backupWrite;
  if (backupWrite?.id !== writeId) return transition(state);
  const base: StoreState = {
    ...state,
    backupWrite: undefined,
    mustWipe: false,
    diskFullAt: undefined,
    standDownUntil: clockOrigin,
    metadata: backupWrite.metadata,
    diskDamage: '',
    phase: state.phase === 'empty' ? 'member' : state.phase,
  };
  if (backupWrite.purpose === 'bootstrap') {
    const told =
      backupWrite.commandId === undefined
        ? []
        : [
            send(backupWrite.replyTo, {
              kind: 'bootstrapped' as const,
              id: backupWrite.commandId,
              node: ownId(state),
              ok: true,
              text: '',
            }),
          ];
    return transition(
      { ...base, stamp: backupWrite.stamp },
      log('info', 'this store belongs to a fleet now', ['fleet', backupWrite.metadata.fleet]),
      ...told,
    );
  }
  let table = state.table;
  if (backupWrite.stamps.size === 0) table = withPuts(table, backupWrite.puts, backupWrite.stamp);
  else
    for (const one of backupWrite.puts)
      table = withPuts(table, [one], backupWrite.stamps.get(one.key) ?? backupWrite.stamp);
  const next: StoreState = {
    ...base,
    table,
    control: applyPuts(state.control, backupWrite.puts),
    stamp: backupWrite.stamp,
  };
  const resumed =
    backupWrite.purpose === 'replicate'
      ? transition(next, acknowledgement(state, backupWrite, true, ''))
      : continueResync(next, now);
  return prependEffects(resumed.effects, continueReplication(resumed.state, now));
};

export const onBackupWriteFailed = (
  state: StoreState,
  writeId: number,
  reason: string,
  isDiskFull: boolean,
  now: Timestamp,
): StoreTransition => {
  const backupWrite = state.backupWrite;
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
  if (backupWrite.purpose === 'bootstrap' && backupWrite.commandId !== undefined) {
    return transition(
      next,
      send(backupWrite.replyTo, {
        kind: 'bootstrapped',
        id: backupWrite.commandId,
        node: ownId(state),
        ok: false,
        text: reason,
      }),
    );
  }
  return transition(next, log('error', 'the disk refused a mend', ['why', reason]));
};
