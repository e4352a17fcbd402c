/**
 * Primary side of a resync: compares a learner's digests with its own, lists differing ranges, sends requested
 * entries, and promotes the learner once the tables are equal.
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
import { endResyncOf, selectLearner } from './learner-choice.js';
import { recordPeerStatus } from './peer-status.js';
import { mayPromote, promoteLearner, storesWithLearner } from './promotion.js';
import type { StoreState } from '../state/state.js';
import { isSameLogPosition, keysInRange, rangeDigests } from '../state/table.js';
import type { StoreTransition } from '../state/transition.js';

/** Size beyond which a frame takes no further entries. */
const resyncBatchCharacters = 1024 * 1024;

/** Maximum number of ranges listed in reply to one status. */
const resyncRangesPerReply = 8;

/** Whether a store at this log position has the last committed write or the open one. */
const isFollowing = (state: StoreState, logPosition: LogPosition): boolean =>
  isSameLogPosition(logPosition, state.logPosition) ||
  (state.primaryWrite !== undefined &&
    isSameLogPosition(logPosition, state.primaryWrite.logPosition));

/** Handles a peer's status: the primary replaces a backup that lost its disk, and resyncs learners. */
export const onPeerStatus = (
  state: StoreState,
  from: Peer,
  status: FrameOf<'replica-status'>,
  now: Timestamp,
): StoreTransition => {
  const recorded = recordPeerStatus(state, from, status, now);
  const { metadata } = state;
  if (metadata === undefined || !isPrimary(state, now)) return transition(recorded);
  if (status.metadata !== undefined && status.metadata.fleet !== metadata.fleet)
    return transition(recorded);
  // An in-sync store without metadata has lost its disk: it is replaced at once, then resynced.
  if (metadata.inSyncSet.includes(status.node) && status.metadata === undefined)
    return replaceBackups(recorded, [status.node], now);
  if (metadata.inSyncSet.includes(status.node) || status.digests.length === 0)
    return transition(recorded);
  if (isFollowing(state, status.stamp) && !mayPromote(recorded, status.node, now))
    return transition(endResyncOf(recorded, status.node));
  return resyncLearner(selectLearner(recorded, metadata, now), from, status, metadata, now);
};

/**
 * Resyncs the selected learner, or any learner during a shortage of replicas, and promotes it once the tables are
 * equal.
 */
const resyncLearner = (
  state: StoreState,
  from: Peer,
  status: FrameOf<'replica-status'>,
  metadata: ClusterMetadata,
  now: Timestamp,
): StoreTransition => {
  if (state.activeResync?.node !== status.node && state.shortageSince === undefined)
    return transition(state);
  const ownDigests = rangeDigests(state.table);
  const differingRanges = ownDigests.flatMap((digest, range) =>
    digest === status.digests[range] ? [] : [range],
  );
  const metadataWithLearner: ClusterMetadata = {
    ...metadata,
    stores: storesWithLearner(state, from, metadata, now),
  };
  if (differingRanges.length > 0) {
    return transition(
      state,
      ...differingRanges.slice(0, resyncRangesPerReply).map((range) =>
        send(from.address, {
          kind: 'range-listing' as const,
          epoch: metadata.epoch,
          stamp: state.logPosition,
          range,
          keys: keysInRange(state.table, range),
        }),
      ),
    );
  }
  if (
    !isSameLogPosition(status.stamp, state.logPosition) ||
    status.metadata?.epoch !== metadata.epoch
  ) {
    return transition(
      state,
      send(from.address, {
        kind: 'resync-entries',
        epoch: metadata.epoch,
        metadata: metadataWithLearner,
        settled: { stamp: state.logPosition, digests: ownDigests },
        entries: [],
      }),
      ...replicateOpenWrite(state, from.address),
    );
  }
  // Equal entries and log position, and no open write: the learner is in sync from the next epoch on.
  return mayPromote(state, status.node, now)
    ? promoteLearner(state, from, metadataWithLearner, now)
    : transition(state);
};

/** Sends requested entries to a learner, as many as fit into a frame; the request counts as progress. */
export const onFetchEntries = (
  state: StoreState,
  from: Peer,
  request: FrameOf<'fetch-entries'>,
  now: Timestamp,
): StoreTransition => {
  const { metadata } = state;
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
  const activeResync =
    state.activeResync?.node === request.node
      ? { node: request.node, since: now }
      : state.activeResync;
  return transition(
    { ...state, activeResync },
    send(from.address, { kind: 'resync-entries', epoch: metadata.epoch, metadata, entries }),
  );
};
