/**
 * Replacement of backups.
 *
 * A backup that is silent, refuses a write, or lost its disk is replaced by a learner within one
 * change of the epoch. Invariants:
 *
 * 1. A store is named in the set of an epoch only if it holds every confirmed write. Its stamp tells:
 *    a store has a stamp S only if its table is the state after the write S, since it took each write
 *    directly after the prior one, or compared its digests with those that the primary had at S.
 *    A resync that has begun takes the stamp away, in the same disk write.
 * 2. Nothing is confirmed under an epoch before the metadata of the epoch is on the disks of its
 *    whole set. Acknowledgements bear the epoch of the metadata that went to the disk with the write.
 * 3. Voters grant an epoch only to members of the set of the newest epoch that they granted.
 *
 * Why no confirmed write is lost when the primary dies between two steps, under the epoch e with the
 * set I, after it asked for e+1 with the set J:
 *
 * - Before a majority granted e+1: members of I may be elected, and hold every confirmed write.
 * - After that, before the metadata of e+1 is on every disk of J: only members of J may be elected.
 *   Those of I know it. A learner in J has the metadata of an earlier epoch and asks the voters
 *   without knowing; they grant to it, and to no store that J leaves out. It counts no voter that
 *   lost its memory, and stands with a set of its own alone, as what it knows of others is older.
 *   By 1 it holds all that was confirmed until e+1 was asked for, and by 2 nothing was since.
 * - After that: the metadata of e+1 is on the disks of J, and the write that was open too.
 *
 * Two changes in a row are two such steps, as the second is asked for under the first. A write that
 * is on some disks under e keeps its stamp under e+1, and is confirmed once all of J told of it under
 * the metadata of e+1. A backup that returns with an empty disk says so and is replaced; one that
 * returns with the disk that it had before e+1 is refused by the voters, and resynced.
 */

import { type NodeId, type Timestamp, prependEffects, transition } from '@switchwheel/types';
import { type ClusterMetadata, log } from '@switchwheel/transport';
import { holdsLease, startElection } from '@switchwheel/election';
import { electionContext } from '../leadership/candidacy.js';
import {
  awaitsLearner,
  backupTimeoutMs,
  caughtUpLearners,
  chooseReplicas,
  hasEnoughReplicas,
} from '../leadership/replica-placement.js';
import type { StoreState } from '../state/state.js';
import type { StoreTransition } from '../state/transition.js';

/** Notes since when copies have been lacking. */
export const noteShortage = (state: StoreState, now: Timestamp): StoreState =>
  state.shortageSince === undefined ? { ...state, shortageSince: now } : state;

/** The stores of the metadata, with those of a set that are not in it yet. */
const storesWith = (
  state: StoreState,
  metadata: ClusterMetadata,
  set: readonly NodeId[],
): ClusterMetadata['stores'] => {
  const added = set.flatMap((node) => {
    const peer = state.peers.get(node);
    const isNamed = metadata.stores.some((one) => one.node === node);
    return isNamed || peer === undefined ? [] : [{ node, address: peer.address }];
  });
  return [...metadata.stores, ...added];
};

/** Asks the voters for an epoch with this in-sync set. */
export const requestInSyncSet = (
  state: StoreState,
  set: readonly NodeId[],
  now: Timestamp,
): StoreTransition => {
  if (state.metadata === undefined) return transition(state);
  const metadata: ClusterMetadata = {
    ...state.metadata,
    stores: storesWith(state, state.metadata, set),
  };
  const next: StoreState = { ...state, metadata };
  const context = electionContext(next, metadata, now);
  const asked = startElection(state.candidate, context, set, now);
  return transition({ ...next, candidate: asked.state }, ...asked.effects);
};

/** Whether a backup that is late still speaks and has not refused: its disk may only be slow. */
const awaitsLateBackup = (state: StoreState, lost: readonly NodeId[], now: Timestamp): boolean =>
  lost.some((one) => {
    const peer = state.peers.get(one);
    return (
      peer?.metadata !== undefined &&
      !peer.isDiskFull &&
      !peer.isStopping &&
      now - peer.heardAt < backupTimeoutMs
    );
  });

/**
 * Whether waiting may bring another copy. A primary that does not serve yet can bring nobody up, so
 * it goes on with what there is; orders wait for the copies once it serves.
 */
const mayBecomeEnough = (
  state: StoreState,
  set: readonly NodeId[],
  lost: readonly NodeId[],
  now: Timestamp,
): boolean =>
  state.isServing &&
  (awaitsLearner(state, [...set, ...lost], now) || awaitsLateBackup(state, lost, now));

/**
 * Replaces backups by learners that have caught up, in one change of the epoch. While there are too
 * few of them but stores in reach that may catch up, nothing changes and an open write stays open.
 */
export const replaceBackups = (
  state: StoreState,
  lost: readonly NodeId[],
  now: Timestamp,
): StoreTransition => {
  if (state.metadata === undefined || !holdsLease(state.candidate, now)) return transition(state);
  const kept = state.candidate.inSyncSet.filter((one) => !lost.includes(one));
  const learners = caughtUpLearners(state, [...kept, ...lost], now);
  const set = chooseReplicas(state, kept, learners);
  const isEnough = hasEnoughReplicas(state, set);
  if (!isEnough && mayBecomeEnough(state, set, lost, now))
    return transition(noteShortage(state, now));
  const words = isEnough
    ? log('warn', 'backups are replaced', ['lost', lost.join(', ')], ['set', set.join(', ')])
    : log(
        'error',
        'going on with fewer copies than asked for: no other store in reach has a working disk',
        ['lost', lost.join(', ')],
        ['set', set.join(', ')],
      );
  return prependEffects([words], requestInSyncSet(state, set, now));
};
