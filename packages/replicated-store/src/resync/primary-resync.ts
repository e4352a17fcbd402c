/**
 * The primary's side of a resync: a learner's digests are compared with the primary's, ranges that differ are
 * listed, entries that it asks for are sent, and once it is equal it is promoted.
 */

import { type Timestamp, transition } from '@switchwheel/types';
import {
  type ClusterMetadata,
  type FrameOf,
  type LogPosition,
  type Peer,
  send,
} from '@switchwheel/transport';
import { isPrimary } from '../leadership/candidacy.js';
import { replaceBackups } from '../log-write/backup-replacement.js';
import { replicateOpenWrite } from '../log-write/replication.js';
import { endResyncOf, pickLearner } from './learner-choice.js';
import { notePeerStatus } from './peer-status.js';
import { mayPromote, promoteLearner, storesWithLearner } from './promotion.js';
import type { StoreState } from '../state/state.js';
import { isSameStamp, keysInRange, rangeDigests } from '../state/table.js';
import type { StoreTransition } from '../state/transition.js';

const resyncBatchCharacters = 1024 * 1024;

const resyncRangesPerReply = 8;

/** Whether a store with this stamp has the last confirmed write, or the one that is open. */
const isFollowing = (state: StoreState, stamp: LogPosition): boolean =>
  isSameStamp(stamp, state.stamp) ||
  (state.primaryWrite !== undefined && isSameStamp(stamp, state.primaryWrite.stamp));

/** A peer tells where it stands. */
export const onPeerStatus = (
  state: StoreState,
  from: Peer,
  status: FrameOf<'replica-status'>,
  now: Timestamp,
): StoreTransition => {
  const noted = notePeerStatus(state, from, status, now);
  const metadata = state.metadata;
  if (metadata === undefined || !isPrimary(state, now)) return transition(noted);
  if (status.metadata !== undefined && status.metadata.fleet !== metadata.fleet)
    return transition(noted);
  // A store that counts as in sync and says that it holds nothing has lost its disk: it is replaced at once, and then mended.
  if (metadata.inSyncSet.includes(status.node) && status.metadata === undefined)
    return replaceBackups(noted, [status.node], now);
  if (metadata.inSyncSet.includes(status.node) || status.digests.length === 0)
    return transition(noted);
  if (isFollowing(state, status.stamp) && !mayPromote(noted, status.node, now))
    return transition(endResyncOf(noted, status.node));
  return resyncLearner(pickLearner(noted, metadata, now), from, status, metadata, now);
};

/** Mends the spare whose turn it is, or takes it in once it is equal; all have their turn while copies are lacking. */
const resyncLearner = (
  state: StoreState,
  from: Peer,
  status: FrameOf<'replica-status'>,
  metadata: ClusterMetadata,
  now: Timestamp,
): StoreTransition => {
  if (state.activeResync?.node !== status.node && state.shortageSince === undefined)
    return transition(state);
  const mine = rangeDigests(state.table);
  const unlike = mine.flatMap((one, range) => (one === status.digests[range] ? [] : [range]));
  const shown: ClusterMetadata = {
    ...metadata,
    stores: storesWithLearner(state, from, metadata, now),
  };
  if (unlike.length > 0) {
    return transition(
      state,
      ...unlike.slice(0, resyncRangesPerReply).map((range) =>
        send(from.address, {
          kind: 'range-listing' as const,
          epoch: metadata.epoch,
          stamp: state.stamp,
          range,
          keys: keysInRange(state.table, range),
        }),
      ),
    );
  }
  if (!isSameStamp(status.stamp, state.stamp) || status.metadata?.epoch !== metadata.epoch) {
    return transition(
      state,
      send(from.address, {
        kind: 'resync-entries',
        epoch: metadata.epoch,
        metadata: shown,
        settled: { stamp: state.stamp, digests: mine },
        entries: [],
      }),
      ...replicateOpenWrite(state, from.address),
    );
  }
  // Equal to the last entry and stamp, and nothing is being written: it is in sync from the next epoch on.
  return mayPromote(state, status.node, now)
    ? promoteLearner(state, from, shown, now)
    : transition(state);
};

export const onFetchEntries = (
  state: StoreState,
  from: Peer,
  request: FrameOf<'fetch-entries'>,
  now: Timestamp,
): StoreTransition => {
  const metadata = state.metadata;
  if (metadata === undefined || !isPrimary(state, now) || request.epoch !== metadata.epoch)
    return transition(state);
  const entries: FrameOf<'resync-entries'>['entries'] = [];
  let size = 0;
  for (const key of request.keys) {
    const entry = state.table.get(key);
    if (entry === undefined) continue;
    entries.push({ key, ...entry });
    size += entry.data.length;
    if (size > resyncBatchCharacters) break;
  }
  const mending =
    state.activeResync?.node === request.node
      ? { node: request.node, since: now }
      : state.activeResync;
  return transition(
    { ...state, activeResync: mending },
    send(from.address, { kind: 'resync-entries', epoch: metadata.epoch, metadata, entries }),
  );
};
