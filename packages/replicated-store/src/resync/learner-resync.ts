/**
 * A learner's side of a resync: what the primary doesn't have is deleted, what is missing is fetched. The
 * learner has no stamp from the first write of a resync until the primary settles it.
 */

import { type Timestamp, clockOrigin, prependEffects, transition } from '@switchwheel/types';
import { type FrameOf, type Peer, type TableMutation, send } from '@switchwheel/transport';
import { inSync } from '../leadership/candidacy.js';
import { startBackupWrite } from '../log-write/disk-writes.js';
import { sendStatus } from './status.js';
import type { StoreEffect } from '../state/events.js';
import { type StoreState, noStamp, ownId } from '../state/state.js';
import { isNewerStamp, isSameStamp, keysInRange, rangeDigests } from '../state/table.js';
import type { StoreTransition } from '../state/transition.js';

const maxQueuedResyncs = 64;

/** Whether a store may be mended by the holder of this epoch. */
const acceptsResync = (state: StoreState, epoch: number): boolean =>
  !inSync(state) &&
  state.primaryWrite === undefined &&
  epoch >= Math.max(state.metadata?.epoch ?? 0, state.excludedAtEpoch);

/** The primary lists a range that is unlike: what is wrong here is dropped, what is lacking is fetched. */
export const onRangeListing = (
  state: StoreState,
  from: Peer,
  listing: FrameOf<'range-listing'>,
  now: Timestamp,
): StoreTransition => {
  if (!acceptsResync(state, listing.epoch)) return transition(state);
  // What came here since the listing was made is not in it.
  if (isNewerStamp(state.stamp, listing.stamp)) return transition(state);
  const listed = new Map(listing.keys.map((one) => [one.key, one.stamp]));
  const lacking = listing.keys.filter((one) => {
    const mine = state.table.get(one.key);
    return mine === undefined || !isSameStamp(mine.stamp, one.stamp);
  });
  const extra = keysInRange(state.table, listing.range).filter((one) => !listed.has(one.key));
  const fetch: readonly StoreEffect[] =
    lacking.length === 0
      ? []
      : [
          send(from.address, {
            kind: 'fetch-entries',
            node: ownId(state),
            epoch: listing.epoch,
            keys: lacking.map((one) => one.key),
          }),
        ];
  if (extra.length === 0 || state.metadata === undefined || state.backupWrite !== undefined)
    return transition(state, ...fetch);
  const puts: readonly TableMutation[] = extra.map((one) => ({ key: one.key, data: null }));
  return prependEffects(
    fetch,
    startBackupWrite(
      state,
      {
        startedAt: now,
        purpose: 'resync',
        replyTo: from.address,
        metadata: state.metadata,
        stamp: noStamp,
        puts,
        stamps: new Map(),
        commandId: undefined,
      },
      false,
    ),
  );
};

const digestsMatch = (state: StoreState, otherDigests: readonly string[]): boolean => {
  const mine = rangeDigests(state.table);
  return (
    mine.length === otherDigests.length && mine.every((one, range) => one === otherDigests[range])
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
  const stamps = new Map(batch.entries.map((one) => [one.key, one.stamp]));
  const puts = batch.entries.map((one) => ({ key: one.key, data: one.data }));
  // What was equal when the primary compared may have changed since.
  if (batch.settled !== undefined && !digestsMatch(state, batch.settled.digests))
    return transition(state);
  // Until it is settled, this store has no stamp: no write can follow, and it does not stand.
  const stamp = batch.settled?.stamp ?? noStamp;
  return startBackupWrite(
    state,
    {
      startedAt: now,
      purpose: 'resync',
      replyTo: from.address,
      metadata: batch.metadata,
      stamp,
      puts,
      stamps,
      commandId: undefined,
    },
    false,
  );
};

/** After a mend was written the next one is, or the primary is asked at once what is still unlike. */
export const continueResync = (state: StoreState, now: Timestamp): StoreTransition => {
  const [next, ...rest] = state.resyncQueue;
  if (next !== undefined)
    return onResyncEntries({ ...state, resyncQueue: rest }, next.from, next.frame, now);
  return sendStatus({ ...state, statusSentAt: clockOrigin }, now);
};
