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
import type { ClusterMetadata, LeaseHolder, ProcessEffect } from '@switchwheel/transport';
import { type ElectionContext, holdsLease, stepDown } from '@switchwheel/election';
import { newerElectorate } from './electorate.js';
import { backupTimeoutMs, chooseReplicas } from './replica-placement.js';
import type { PeerStatus } from '../state/peers.js';
import { type StoreState, noLogPosition, ownId } from '../state/state.js';
import { isNewerLogPosition, isSameLogPosition } from '../state/table.js';

/** How old a peer's status may be that counts as evidence, in milliseconds (as all times here). */
const evidenceMaxAgeMs = 500;

/** How long the primary must be silent before a backup asks for the lease. */
export const primaryTimeoutMs = 700;

/** How much longer each backup waits than the one before it, so that not all ask at once. */
const candidacyDelayPerRankMs = 40;

/** How much longer a learner waits than the backups before it asks whether it was promoted. */
const learnerCandidacyDelayMs = 300;

/** How long a store whose voters are all recovering waits for silent members of its in-sync set. */
const silentPeerTimeoutMs = 1400;

/** How long it waits for others to be heard when a member of its in-sync set has lost its disk. */
const lostDiskWaitMs = 1000;

/** Whether this store is the primary: it holds the lease, and the metadata of its epoch is on every disk it must be on. */
export const isPrimary = (state: StoreState, now: Timestamp): boolean =>
  state.isServing && holdsLease(state.candidate, now);

/** Whether the table is the state at its stamp: while a resync changes it there is no such stamp. */
const hasConsistentTable = (state: StoreState): boolean =>
  !isSameLogPosition(state.logPosition, noLogPosition);

/** Whether this store holds every committed write, as far as it knows. */
export const isInSync = (state: StoreState): boolean =>
  state.metadata !== undefined &&
  hasConsistentTable(state) &&
  state.metadata.inSyncSet.includes(ownId(state)) &&
  state.excludedAtEpoch <= state.metadata.epoch;

/** What a peer's status says of epochs after this store's own. */
type PeerEvidence = 'same' | 'later' | 'empty' | 'silent';

const peerEvidence = (
  state: StoreState,
  metadata: ClusterMetadata,
  peer: PeerStatus | undefined,
  now: Timestamp,
): PeerEvidence => {
  if (peer === undefined || now - peer.heardAt >= evidenceMaxAgeMs) return 'silent';
  if (peer.metadata === undefined) return 'empty';
  if (peer.metadata.fleet !== metadata.fleet) return 'silent';
  return peer.metadata.epoch > metadata.epoch ||
    isNewerLogPosition(peer.logPosition, state.logPosition)
    ? 'later'
    : 'same';
};

/** Whether a store is heard that belongs to a later in-sync set without this one. */
const newerPrimaryHeard = (state: StoreState, metadata: ClusterMetadata, now: Timestamp): boolean =>
  [...state.peers.values()].some(
    (peer) =>
      now - peer.heardAt < silentPeerTimeoutMs &&
      peer.metadata?.fleet === metadata.fleet &&
      peer.metadata.epoch > metadata.epoch &&
      !peer.metadata.inSyncSet.includes(ownId(state)),
  );

/**
 * Whether no later primary can have committed anything without this store, by the evidence of its in-sync set. Then
 * the votes of recovering voters count.
 */
const survivorsProveNoNewerPrimary = (
  state: StoreState,
  metadata: ClusterMetadata,
  now: Timestamp,
): boolean => {
  const others = metadata.inSyncSet
    .filter((node) => node !== ownId(state))
    .map((node) => {
      const peer = state.peers.get(node);
      return {
        evidence: peerEvidence(state, metadata, peer, now),
        heardAt: Math.max(peer?.heardAt ?? state.startedAt, state.startedAt),
      };
    });
  if (newerPrimaryHeard(state, metadata, now)) return false;
  if (others.every(({ evidence }) => evidence === 'same')) return true;
  if (
    metadata.epoch === noEpoch ||
    others.some(({ evidence }) => evidence === 'later') ||
    now - state.startedAt < lostDiskWaitMs
  )
    return false;
  // A lost disk can't have been in a later set; a silent store can, but only if it lost all that are heard at once.
  const silent = others.filter(({ evidence }) => evidence === 'silent');
  const same = 1 + others.filter(({ evidence }) => evidence === 'same').length;
  return (
    silent.length === 0 ||
    (same > state.settings.tolerate &&
      silent.every(({ heardAt }) => now - heardAt >= silentPeerTimeoutMs))
  );
};

/** What the election package needs to know of this store to request and count votes. */
export const electionContext = (
  state: StoreState,
  metadata: ClusterMetadata,
  now: Timestamp,
): ElectionContext => {
  const holderRecord: LeaseHolder = {
    duty: state.candidate.leaseName,
    epoch: metadata.epoch,
    node: ownId(state),
    address: state.session.member.address,
  };
  return {
    fleet: metadata.fleet,
    electorate: newerElectorate(metadata.electorate, state.session.electorate),
    holderRecord,
    countsRecoveringVoters: isInSync(state) && survivorsProveNoNewerPrimary(state, metadata, now),
  };
};

/** The stores of the in-sync set that are in touch, whose disks take writes, and that are not stopping. */
export const reachableInSync = (
  state: StoreState,
  now: Timestamp,
  includesStopping = false,
): ClusterMetadata['inSyncSet'] =>
  (state.metadata?.inSyncSet ?? []).filter((node) => {
    const peer = state.peers.get(node);
    return (
      node === ownId(state) ||
      (peer?.metadata !== undefined &&
        peer.metadata.fleet === state.metadata?.fleet &&
        !peer.isDiskFull &&
        (includesStopping || !peer.isStopping) &&
        now - peer.heardAt < backupTimeoutMs)
    );
  });

/** The in-sync set to ask for: this store, and those in sync that are in touch, no more than replicas are wanted. */
export const chooseBackups = (state: StoreState, now: Timestamp): ClusterMetadata['inSyncSet'] => {
  const own = [ownId(state)];
  // What a promoted learner knows of the others is older than the epoch that names it.
  if (!isInSync(state)) return own;
  return [...chooseReplicas(state, own, reachableInSync(state, now))];
};

/**
 * Whether this store may be in sync without knowing it: a primary had an epoch granted whose set
 * names it, and died before the metadata came here. The voters know; they grant nothing to others.
 */
const mayBePromoted = (state: StoreState): boolean =>
  state.metadata !== undefined && !isInSync(state) && hasConsistentTable(state);

/** Whether this store may and should ask for the lease. */
export const wantsElection = (state: StoreState, now: Timestamp): boolean => {
  if (state.phase !== 'member' || now < state.standDownUntil) return false;
  if (!isInSync(state) && !mayBePromoted(state)) return false;
  const rank = [...reachableInSync(state, now)].sort().indexOf(ownId(state));
  const delay =
    rank >= 0 && isInSync(state) ? candidacyDelayPerRankMs * rank : learnerCandidacyDelayMs;
  return (
    state.backupWrite === undefined &&
    state.primaryWrite === undefined &&
    now - state.primaryHeardAt > primaryTimeoutMs + delay
  );
};

/** Gives the lease up, and doesn't ask for it again for `standDownMs`. */
export const resignLease = (
  state: StoreState,
  standDownMs: number,
  now: Timestamp,
): Transition<StoreState, ProcessEffect> => {
  const resigned = stepDown(
    state.candidate,
    state.metadata === undefined ? undefined : electionContext(state, state.metadata, now),
    now,
    0,
  );
  return transition(
    { ...state, candidate: resigned.state, standDownUntil: toTimestamp(now + standDownMs) },
    ...resigned.effects,
  );
};
