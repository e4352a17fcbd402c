/**
 * Candidacy: whether a store may and should ask for the primary's lease, with which in-sync set, and what it
 * lets its voters know. Requesting and counting votes is the election package's business.
 */

import {
  type Timestamp,
  type Transition,
  noEpoch,
  toTimestamp,
  transition,
} from '@switchwheel/types';
import type {
  ClusterMetadata,
  Electorate,
  LeaseHolder,
  ProcessEffect,
} from '@switchwheel/transport';
import { type ElectionContext, holdsLease, stepDown } from '@switchwheel/election';
import { backupTimeoutMs, chooseReplicas } from './replica-placement.js';
import type { PeerStatus } from '../state/peers.js';
import { type StoreState, noStamp, ownId } from '../state/state.js';
import { isNewerStamp, isSameStamp } from '../state/table.js';

/** How fresh a peer's consent must be. */
const evidenceMaxAgeMs = 500;

/** How long the primary must be silent before a backup stands. */
export const primaryTimeoutMs = 700;

/** How much longer each backup waits than the one before it, so that not all stand at once. */
const candidacyDelayPerRankMs = 40;

/** How much longer a learner waits than the backups before it asks whether it was promoted. */
const learnerCandidacyDelayMs = 300;

/** How long a store without voters that remember waits for those of its in-sync set that do not speak. */
const silentPeerTimeoutMs = 1400;

/** How long it waits for others to speak up when one of its in-sync set has lost its disk. */
const lostDiskWaitMs = 1000;

export const isPrimary = (state: StoreState, now: Timestamp): boolean =>
  state.isServing && holdsLease(state.candidate, now);

/** Whether the table is the state at its stamp: while a resync changes it there is no such stamp. */
const hasConsistentTable = (state: StoreState): boolean => !isSameStamp(state.stamp, noStamp);

/** Whether this store holds every confirmed write, as far as it knows. */
export const inSync = (state: StoreState): boolean =>
  state.metadata !== undefined &&
  hasConsistentTable(state) &&
  state.metadata.inSyncSet.includes(ownId(state)) &&
  state.excludedAtEpoch <= state.metadata.epoch;

type PeerEvidence = 'same' | 'later' | 'empty' | 'silent';

/** What a peer's record says of holdings after this store's own metadata. */
const peerEvidence = (
  state: StoreState,
  metadata: ClusterMetadata,
  peer: PeerStatus | undefined,
  now: Timestamp,
): PeerEvidence => {
  if (peer === undefined || now - peer.heardAt >= evidenceMaxAgeMs) return 'silent';
  if (peer.metadata === undefined) return 'empty';
  if (peer.metadata.fleet !== metadata.fleet) return 'silent';
  return peer.metadata.epoch > metadata.epoch || isNewerStamp(peer.stamp, state.stamp)
    ? 'later'
    : 'same';
};

/** Whether a store is heard that belongs to a later holding without this one. */
const newerPrimaryHeard = (state: StoreState, metadata: ClusterMetadata, now: Timestamp): boolean =>
  [...state.peers.values()].some(
    (word) =>
      now - word.heardAt < silentPeerTimeoutMs &&
      word.metadata?.fleet === metadata.fleet &&
      word.metadata.epoch > metadata.epoch &&
      !word.metadata.inSyncSet.includes(ownId(state)),
  );

/** Whether no later holding can have confirmed anything without this store, as far as records tell: then it needs no voter that remembers. */
const survivorsProveNoNewerPrimary = (
  state: StoreState,
  metadata: ClusterMetadata,
  now: Timestamp,
): boolean => {
  const others = metadata.inSyncSet
    .filter((one) => one !== ownId(state))
    .map((one) => {
      const word = state.peers.get(one);
      return {
        tells: peerEvidence(state, metadata, word, now),
        heard: Math.max(word?.heardAt ?? state.startedAt, state.startedAt),
      };
    });
  if (newerPrimaryHeard(state, metadata, now)) return false;
  if (others.every((one) => one.tells === 'same')) return true;
  if (
    metadata.epoch === noEpoch ||
    others.some((one) => one.tells === 'later') ||
    now - state.startedAt < lostDiskWaitMs
  )
    return false;
  // A disk that is lost tells nothing ever again; one that is silent can have gone on only if it lost all who speak at once.
  const silent = others.filter((one) => one.tells === 'silent');
  const same = 1 + others.filter((one) => one.tells === 'same').length;
  return (
    silent.length === 0 ||
    (same > state.settings.tolerate &&
      silent.every((one) => now - one.heard >= silentPeerTimeoutMs))
  );
};

export const electionContext = (
  state: StoreState,
  metadata: ClusterMetadata,
  now: Timestamp,
): ElectionContext => {
  const known = state.session.electorate;
  const electorate: Electorate =
    known !== undefined && known.serial > metadata.electorate.serial ? known : metadata.electorate;
  const held: LeaseHolder = {
    duty: state.candidate.leaseName,
    epoch: metadata.epoch,
    node: ownId(state),
    address: state.session.member.address,
  };
  return {
    fleet: metadata.fleet,
    electorate,
    holderRecord: held,
    countsRecoveringVoters: inSync(state) && survivorsProveNoNewerPrimary(state, metadata, now),
  };
};

/** The stores in sync that are in touch, whose disks take writes, and that do not leave. */
export const reachableInSync = (
  state: StoreState,
  now: Timestamp,
  includesStopping = false,
): ClusterMetadata['inSyncSet'] =>
  (state.metadata?.inSyncSet ?? []).filter((one) => {
    const word = state.peers.get(one);
    return (
      one === ownId(state) ||
      (word?.metadata !== undefined &&
        word.metadata.fleet === state.metadata?.fleet &&
        !word.isDiskFull &&
        (includesStopping || !word.isStopping) &&
        now - word.heardAt < backupTimeoutMs)
    );
  });

/** The stores to stand with: those in sync that are in touch, no more than copies are wanted. */
export const chooseBackups = (state: StoreState, now: Timestamp): ClusterMetadata['inSyncSet'] => {
  const own = [ownId(state)];
  // What a promoted learner knows of the others is older than the epoch that names it.
  if (!inSync(state)) return own;
  return [...chooseReplicas(state, own, reachableInSync(state, now))];
};

/**
 * Whether this store may be in sync without knowing it: a primary had an epoch granted whose set
 * names it, and died before the metadata came here. The voters know; they grant nothing to others.
 */
const mayBePromoted = (state: StoreState): boolean =>
  state.metadata !== undefined && !inSync(state) && hasConsistentTable(state);

/** Whether this store may and should stand for the duty. */
export const wantsElection = (state: StoreState, now: Timestamp): boolean => {
  if (state.phase !== 'member' || now < state.standDownUntil) return false;
  if (!inSync(state) && !mayBePromoted(state)) return false;
  const rank = [...reachableInSync(state, now)].sort().indexOf(ownId(state));
  const delay =
    rank >= 0 && inSync(state) ? candidacyDelayPerRankMs * rank : learnerCandidacyDelayMs;
  return (
    state.backupWrite === undefined &&
    state.primaryWrite === undefined &&
    now - state.primaryHeardAt > primaryTimeoutMs + delay
  );
};

/** Gives the duty up for a while. */
export const resignLease = (
  state: StoreState,
  standDownMs: number,
  now: Timestamp,
): Transition<StoreState, ProcessEffect> => {
  const given = stepDown(
    state.candidate,
    state.metadata === undefined ? undefined : electionContext(state, state.metadata, now),
    now,
    0,
  );
  return transition(
    { ...state, candidate: given.state, standDownUntil: toTimestamp(now + standDownMs) },
    ...given.effects,
  );
};
