/**
 * Replacement of backups.
 *
 * A backup that is silent, refuses a write, or lost its disk is replaced by a learner in a single epoch
 * change. Invariants:
 *
 * 1. A store is in the in-sync set of an epoch only if it holds every committed write. Its log position
 *    proves it: a store has the log position P only if its table is the state after the write P, because it
 *    applied each write directly after the previous one, or matched its digests with the primary's at P.
 *    The first disk write of a resync also clears the log position.
 * 2. No write is confirmed in an epoch before every member of the in-sync set has the metadata of that epoch on
 *    disk. Acknowledgements carry the epoch of the metadata that was written together with the write.
 * 3. Voters grant an epoch only to members of the in-sync set of the newest epoch that they granted.
 *
 * No confirmed write is lost if the primary of epoch e with the in-sync set I fails at any point after
 * it requested e+1 with the in-sync set J:
 *
 * - Before a majority has granted e+1, members of I can be elected, and they hold every confirmed write.
 * - From then until every member of J has the metadata of e+1 on disk, only members of J can be elected.
 *   A learner in J still has the metadata of an earlier epoch and campaigns without knowing its promotion;
 *   the voters grant it the lease, and refuse every store outside J. It ignores votes of recovering voters
 *   and requests an in-sync set of itself alone, because its knowledge of the others is outdated.
 *   By 1 it holds every write confirmed until e+1 was requested, and by 2 none was confirmed since.
 * - Afterwards the members of J have both the metadata of e+1 and the open write on disk.
 *
 * Two consecutive changes are two such steps, as the second is requested under the first. A write that
 * reached some disks under e keeps its log position under e+1 and is committed once all of J have acknowledged
 * it with the metadata of e+1. A backup that returns with an empty disk reports that and is replaced; one that
 * returns with its disk from before e+1 is refused by the voters and resynced.
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

/** Records the start of a shortage of replicas. */
export const recordShortage = (state: StoreState, now: Timestamp): StoreState =>
  state.shortageSince === undefined ? { ...state, shortageSince: now } : state;

/** Stores of the metadata, extended by the members of an in-sync set that it does not name yet. */
const extendedStores = (
  state: StoreState,
  metadata: ClusterMetadata,
  inSyncSet: readonly NodeId[],
): ClusterMetadata['stores'] => {
  const added = inSyncSet.flatMap((node) => {
    const peer = state.peers.get(node);
    const isNamed = metadata.stores.some((store) => store.node === node);
    return isNamed || peer === undefined ? [] : [{ node, address: peer.address }];
  });
  return [...metadata.stores, ...added];
};

/** Requests an epoch with this in-sync set from the voters. */
export const requestInSyncSet = (
  state: StoreState,
  inSyncSet: readonly NodeId[],
  now: Timestamp,
): StoreTransition => {
  if (state.metadata === undefined) return transition(state);
  const metadata: ClusterMetadata = {
    ...state.metadata,
    stores: extendedStores(state, state.metadata, inSyncSet),
  };
  const next: StoreState = { ...state, metadata };
  const context = electionContext(next, metadata, now);
  const election = startElection(state.candidate, context, inSyncSet, now);
  return transition({ ...next, candidate: election.state }, ...election.effects);
};

/** Whether a late backup is still reachable and has not refused the write: its disk may just be slow. */
const awaitsLateBackup = (state: StoreState, lost: readonly NodeId[], now: Timestamp): boolean =>
  lost.some((node) => {
    const peer = state.peers.get(node);
    return (
      peer?.metadata !== undefined &&
      !peer.isDiskFull &&
      !peer.isStopping &&
      now - peer.heardAt < backupTimeoutMs
    );
  });

/**
 * Whether another replica may become available by waiting. A primary that does not serve yet cannot resync
 * learners, so it continues with the replicas at hand; operators' commands wait for more once it serves.
 */
const mayGainReplica = (
  state: StoreState,
  inSyncSet: readonly NodeId[],
  lost: readonly NodeId[],
  now: Timestamp,
): boolean =>
  state.isServing &&
  (awaitsLearner(state, [...inSyncSet, ...lost], now) || awaitsLateBackup(state, lost, now));

/**
 * Replaces lost backups by caught-up learners in a single epoch change. If there are too few of them but a
 * reachable store may still catch up, nothing changes and an open write stays open.
 */
export const replaceBackups = (
  state: StoreState,
  lost: readonly NodeId[],
  now: Timestamp,
): StoreTransition => {
  if (state.metadata === undefined || !holdsLease(state.candidate, now)) return transition(state);
  const remaining = state.candidate.inSyncSet.filter((node) => !lost.includes(node));
  const learners = caughtUpLearners(state, [...remaining, ...lost], now);
  const inSyncSet = chooseReplicas(state, remaining, learners);
  const isEnough = hasEnoughReplicas(state, inSyncSet);
  if (!isEnough && mayGainReplica(state, inSyncSet, lost, now))
    return transition(recordShortage(state, now));
  const logLine = isEnough
    ? log('warn', 'backups replaced', ['lost', lost.join(', ')], ['set', inSyncSet.join(', ')])
    : log(
        'error',
        'in-sync set reduced: no other reachable store has a working disk',
        ['lost', lost.join(', ')],
        ['set', inSyncSet.join(', ')],
      );
  return prependEffects([logLine], requestInSyncSet(state, inSyncSet, now));
};
