/**
 * Candidacy for the primary's lease: whether a store campaigns, which in-sync set it requests, and the context that
 * it passes to the election package, which requests and counts the votes.
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

/** Maximum age of a peer's status that counts as evidence. */
const evidenceMaxAgeMs = 500;

/** Silence of the primary after which a backup campaigns for the lease. */
export const primaryTimeoutMs = 700;

/** Additional delay per rank of a backup, so that backups do not campaign at the same time. */
const candidacyDelayPerRankMs = 40;

/** Additional delay of a learner before it campaigns in case it was promoted. */
const learnerCandidacyDelayMs = 300;

/** Silence after which a store with recovering voters stops waiting for a member of its in-sync set. */
const silentPeerTimeoutMs = 1400;

/** Time after the start during which a store waits for all members of its in-sync set to report. */
const lostDiskWaitMs = 1000;

/** Whether this store is the primary: it holds the lease and serves. */
export const isPrimary = (state: StoreState, now: Timestamp): boolean =>
  state.isServing && holdsLease(state.candidate, now);

/** Whether the table is the state at a log position; not the case while a resync changes it. */
const hasConsistentTable = (state: StoreState): boolean =>
  !isSameLogPosition(state.logPosition, noLogPosition);

/** Whether this store knows that it holds every committed write. */
export const isInSync = (state: StoreState): boolean =>
  state.metadata !== undefined &&
  hasConsistentTable(state) &&
  state.metadata.inSyncSet.includes(ownId(state)) &&
  state.excludedAtEpoch <= state.metadata.epoch;

/** Evidence from a peer's status about epochs later than this store's own. */
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

/** Whether a peer reports a later epoch whose in-sync set excludes this store. */
const hasHeardNewerPrimary = (
  state: StoreState,
  metadata: ClusterMetadata,
  now: Timestamp,
): boolean =>
  [...state.peers.values()].some(
    (peer) =>
      now - peer.heardAt < silentPeerTimeoutMs &&
      peer.metadata?.fleet === metadata.fleet &&
      peer.metadata.epoch > metadata.epoch &&
      !peer.metadata.inSyncSet.includes(ownId(state)),
  );

/**
 * Whether the status of its in-sync set proves that no later primary committed a write without this store. The votes
 * of recovering voters are counted in that case.
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
  if (hasHeardNewerPrimary(state, metadata, now)) return false;
  if (others.every(({ evidence }) => evidence === 'same')) return true;
  if (
    metadata.epoch === noEpoch ||
    others.some(({ evidence }) => evidence === 'later') ||
    now - state.startedAt < lostDiskWaitMs
  )
    return false;
  // A store that lost its disk was in no later in-sync set. A silent store may have been, but only if that set
  // replaced all reachable members at once, which would take more losses than are tolerated.
  const silent = others.filter(({ evidence }) => evidence === 'silent');
  const same = 1 + others.filter(({ evidence }) => evidence === 'same').length;
  return (
    silent.length === 0 ||
    (same > state.settings.tolerate &&
      silent.every(({ heardAt }) => now - heardAt >= silentPeerTimeoutMs))
  );
};

/** Context in which the election package requests and counts votes for this store. */
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

/** In-sync stores that are reachable, accept writes, and are not stopping unless `includesStopping` is set. */
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

/** In-sync set to request: this store and reachable in-sync stores, up to the wanted number of replicas. */
export const chooseBackups = (state: StoreState, now: Timestamp): ClusterMetadata['inSyncSet'] => {
  const selfOnly = [ownId(state)];
  // A promoted learner's knowledge of other stores is older than the epoch that names it.
  if (!isInSync(state)) return selfOnly;
  return [...chooseReplicas(state, selfOnly, reachableInSync(state, now))];
};

/**
 * Whether this store may be in sync without knowing it: a primary acquired an epoch whose in-sync set includes
 * this store, and failed before its metadata arrived. The voters know that set and refuse stores outside it.
 */
const mayBePromoted = (state: StoreState): boolean =>
  state.metadata !== undefined && !isInSync(state) && hasConsistentTable(state);

/** Whether this store should campaign for the lease. */
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

/** Releases the lease and does not campaign for `standDownMs`. */
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
