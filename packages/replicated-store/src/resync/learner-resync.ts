/**
 * A learner's side of a resync: what the primary doesn't have is deleted, what is missing is fetched. The
 * learner has no stamp from the first write of a resync until the primary settles it.
 */

import { type Timestamp, clockOrigin, prependEffects, transition } from '@switchwheel/types';
import { type FrameOf, type Peer, type TableMutation, send } from '@switchwheel/transport';
import { isInSync } from '../leadership/candidacy.js';
import { startBackupWrite } from '../log-write/disk-writes.js';
import { sendStatus } from './status.js';
import type { StoreEffect } from '../state/events.js';
import { type StoreState, noLogPosition, ownId } from '../state/state.js';
import {
  isNewerLogPosition,
  isSameLogPosition,
  keysInRange,
  rangeDigests,
} from '../state/table.js';
import type { StoreTransition } from '../state/transition.js';

/** How many frames of entries may wait for the disk. */
const maxQueuedResyncs = 64;

/** Whether this store may be resynced by the primary of an epoch. */
const acceptsResync = (state: StoreState, epoch: number): boolean =>
  !isInSync(state) &&
  state.primaryWrite === undefined &&
  epoch >= Math.max(state.metadata?.epoch ?? 0, state.excludedAtEpoch);

/** The primary lists a range that differs: what it doesn't have is deleted here, what is missing is fetched. */
export const onRangeListing = (
  state: StoreState,
  from: Peer,
  listing: FrameOf<'range-listing'>,
  now: Timestamp,
): StoreTransition => {
  if (!acceptsResync(state, listing.epoch)) return transition(state);
  // What came here since the listing was made is not in it.
  if (isNewerLogPosition(state.logPosition, listing.stamp)) return transition(state);
  const listed = new Set(listing.keys.map(({ key }) => key));
  const missing = listing.keys.filter(({ key, stamp }) => {
    const entry = state.table.get(key);
    return entry === undefined || !isSameLogPosition(entry.stamp, stamp);
  });
  const extra = keysInRange(state.table, listing.range).filter(({ key }) => !listed.has(key));
  const fetch: readonly StoreEffect[] =
    missing.length === 0
      ? []
      : [
          send(from.address, {
            kind: 'fetch-entries',
            node: ownId(state),
            epoch: listing.epoch,
            keys: missing.map(({ key }) => key),
          }),
        ];
  if (extra.length === 0 || state.metadata === undefined || state.backupWrite !== undefined)
    return transition(state, ...fetch);
  const puts: readonly TableMutation[] = extra.map(({ key }) => ({ key, data: null }));
  return prependEffects(
    fetch,
    startBackupWrite(state, {
      startedAt: now,
      purpose: 'resync',
      replyTo: from.address,
      metadata: state.metadata,
      logPosition: noLogPosition,
      puts,
      logPositionByKey: new Map(),
      commandId: undefined,
    }),
  );
};

/** Whether the table equals the one that has these digests. */
const digestsMatch = (state: StoreState, otherDigests: readonly string[]): boolean => {
  const own = rangeDigests(state.table);
  return (
    own.length === otherDigests.length &&
    own.every((digest, range) => digest === otherDigests[range])
  );
};

/** Entries from the primary: they replace what is here, one write after another. */
export const onResyncEntries = (
  state: StoreState,
  from: Peer,
  batch: FrameOf<'resync-entries'>,
  now: Timestamp,
): StoreTransition => {
  if (state.backupWrite !== undefined)
    return transition(
      state.resyncQueue.length < maxQueuedResyncs
        ? { ...state, resyncQueue: [...state.resyncQueue, { from, frame: batch }] }
        : state,
    );
  if (!acceptsResync(state, batch.epoch) || batch.metadata.inSyncSet.includes(ownId(state)))
    return transition(state);
  if (state.metadata !== undefined && state.metadata.fleet !== batch.metadata.fleet)
    return transition(state);
  const logPositionByKey = new Map(batch.entries.map(({ key, stamp }) => [key, stamp]));
  const puts = batch.entries.map(({ key, data }) => ({ key, data }));
  // What was equal when the primary compared may have changed since.
  if (batch.settled !== undefined && !digestsMatch(state, batch.settled.digests))
    return transition(state);
  // Until the primary settles it, this store has no stamp: no write can follow, and it is no candidate.
  const logPosition = batch.settled?.stamp ?? noLogPosition;
  return startBackupWrite(state, {
    startedAt: now,
    purpose: 'resync',
    replyTo: from.address,
    metadata: batch.metadata,
    logPosition,
    puts,
    logPositionByKey,
    commandId: undefined,
  });
};

/** Takes the next frame of entries, or asks the primary at once, by a status, what still differs. */
export const continueResync = (state: StoreState, now: Timestamp): StoreTransition => {
  const [next, ...rest] = state.resyncQueue;
  if (next !== undefined)
    return onResyncEntries({ ...state, resyncQueue: rest }, next.from, next.frame, now);
  return sendStatus({ ...state, statusSentAt: clockOrigin }, now);
};
