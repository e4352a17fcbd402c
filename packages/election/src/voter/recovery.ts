/**
 * Recovery of a restarted voter's grants from the records of its peers. A peer counts towards the end of the
 * recovery only if it made its records after this voter's abstention period.
 */

import {
  type Incarnation,
  type LeaseName,
  type NodeId,
  type Timestamp,
  addMs,
  withEntry,
} from '@switchwheel/types';
import type { LeaseGrantRecord } from '@switchwheel/transport';
import { type LeaseGrant, type Voter, abstentionEnd, maxLeaseMs, quorumSize } from './voter.js';

/** Grant records of a peer, and the newest gossip of this voter's registry that the peer had received by then. */
export interface PeerGrants {
  readonly from: NodeId;
  /** Whether the peer is itself recovering. */
  readonly isRecovering: boolean;
  readonly records: readonly LeaseGrantRecord[];
  readonly lastGossipHeard:
    { readonly incarnation: Incarnation; readonly at: Timestamp } | undefined;
}

/** Whether a peer made its records after this voter's abstention period; earlier records may miss grants. */
const isAfterAbstention = (state: Voter, peerGrants: PeerGrants): boolean =>
  peerGrants.lastGossipHeard?.incarnation === state.incarnation &&
  peerGrants.lastGossipHeard.at >= abstentionEnd(state);

type Grants = ReadonlyMap<LeaseName, LeaseGrant>;

/** Adopts a record with a higher epoch. A running lease that this voter granted is kept until it ends. */
const withRecord = (grants: Grants, record: LeaseGrantRecord, now: Timestamp): Grants => {
  const grant = grants.get(record.duty);
  if (grant !== undefined && grant.epoch >= record.epoch) return grants;
  const lease =
    grant !== undefined && now < grant.leaseEndsAt
      ? { leaseHolder: grant.leaseHolder, leaseEndsAt: grant.leaseEndsAt }
      : { leaseHolder: record.node, leaseEndsAt: addMs(now, maxLeaseMs) };
  return withEntry(grants, record.duty, {
    epoch: record.epoch,
    node: record.node,
    inSyncSet: record.inSyncSet,
    ...lease,
  });
};

/** Whether the peers heard from intersect every quorum of the electorate. */
const hasHeardEnough = (state: Voter, recoveredFrom: ReadonlySet<NodeId>): boolean => {
  if (state.electorate === undefined) return false;
  const { members } = state.electorate;
  const others = members.filter(
    (member) => member.node !== state.self && recoveredFrom.has(member.node),
  );
  return others.length >= members.length - quorumSize(members.length) + 1;
};

/** Adopts a peer's records and ends the recovery once enough peers have reported. */
export const recoverGrants = (state: Voter, peerGrants: PeerGrants, now: Timestamp): Voter => {
  if (!state.isRecovering || peerGrants.isRecovering) return state;
  const grants = peerGrants.records.reduce<Grants>(
    (recovered, record) => withRecord(recovered, record, now),
    state.grants,
  );
  const recoveredFrom = isAfterAbstention(state, peerGrants)
    ? new Set([...state.recoveredFrom, peerGrants.from])
    : state.recoveredFrom;
  return {
    ...state,
    grants,
    recoveredFrom,
    isRecovering: !hasHeardEnough(state, recoveredFrom),
  };
};
