/**
 * Learner side of a resync: deletes entries that the primary does not have and fetches missing ones. The learner has
 * no log position from the first write of a resync until entries with `settled` confirm that the table is complete.
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

/** Maximum number of queued entry frames. */
const maxQueuedResyncs = 64;

/** Whether this store accepts a resync from the primary of an epoch. */
const acceptsResync = (state: StoreState, epoch: number): boolean =>
  !isInSync(state) &&
  state.primaryWrite === undefined &&
  epoch >= Math.max(state.metadata?.epoch ?? 0, state.excludedAtEpoch);

/** Handles the primary's listing of a differing range: deletes extra entries and fetches missing ones. */
export const onRangeListing = (
  state: StoreState,
  from: Peer,
  listing: FrameOf<'range-listing'>,
  now: Timestamp,
): StoreTransition => {
  if (!acceptsResync(state, listing.epoch)) return transition(state);
  // The listing lacks writes that this store received after it was made.
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

/** Whether the table has these range digests. */
const digestsMatch = (state: StoreState, otherDigests: readonly string[]): boolean => {
  const ownDigests = rangeDigests(state.table);
  return (
    ownDigests.length === otherDigests.length &&
    ownDigests.every((digest, range) => digest === otherDigests[range])
  );
};

/** Handles entries from the primary, which replace the local ones; one frame is written at a time. */
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
  // The table may have changed since the primary compared it.
  if (batch.settled !== undefined && !digestsMatch(state, batch.settled.digests))
    return transition(state);
  // Without a log position this store accepts no replicated write and does not campaign until the resync is settled.
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

/** Handles the next queued entry frame, or sends a status at once to request the remaining differences. */
export const continueResync = (state: StoreState, now: Timestamp): StoreTransition => {
  const [next, ...rest] = state.resyncQueue;
  if (next !== undefined)
    return onResyncEntries({ ...state, resyncQueue: rest }, next.from, next.frame, now);
  return sendStatus({ ...state, statusSentAt: clockOrigin }, now);
};
