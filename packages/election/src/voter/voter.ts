/**
 * Voter: grants each lease to one node at a time, in strictly increasing epochs. Its grants change on vote
 * requests and, after a restart, on the records of its peers (`recovery.ts`). Grants are not persisted: a
 * restarted voter abstains until every lease that it may have granted has expired.
 */

import {
  type Epoch,
  type FleetId,
  type Incarnation,
  type LeaseName,
  type NodeId,
  type Timestamp,
  addMs,
  noEpoch,
  primaryLease,
  toDurationMs,
  withEntry,
} from '@switchwheel/types';
import type { Electorate, FrameOf, LeaseGrantRecord } from '@switchwheel/transport';

/** Maximum duration of a granted lease; also the abstention period of a restarted voter. */
export const maxLeaseMs = 1000;

/** Newest grant of one lease by a voter. */
export interface LeaseGrant {
  readonly epoch: Epoch;
  readonly node: NodeId;
  /**
   * Holder of the lease that lasts until `leaseEndsAt`. Differs from `node` after a recovery: a higher
   * epoch recorded by a peer does not end a lease that this voter granted.
   */
  readonly leaseHolder: NodeId;
  readonly leaseEndsAt: Timestamp;
  /** For the primary's lease: the stores that hold every write confirmed in this epoch. */
  readonly inSyncSet: readonly NodeId[];
  /** In-sync set of the previous grant, restored if the candidate abandons its election. */
  readonly previousInSyncSet?: readonly NodeId[] | undefined;
}

/** State of a voter. */
export interface Voter {
  readonly self: NodeId;
  /** Incarnation of the process. Votes carry it; only a renewal that echoes it proves that the holder won. */
  readonly incarnation: Incarnation;
  readonly startedAt: Timestamp;
  readonly fleet: FleetId | undefined;
  readonly electorate: Electorate | undefined;
  readonly grants: ReadonlyMap<LeaseName, LeaseGrant>;
  /** Whether this voter has restarted and not yet recovered its earlier grants. */
  readonly isRecovering: boolean;
  /** Peers whose records count towards the end of the recovery. */
  readonly recoveredFrom: ReadonlySet<NodeId>;
}

/** Creates a voter that has just started and is therefore recovering. */
export const newVoter = (self: NodeId, startedAt: Timestamp, incarnation: Incarnation): Voter => ({
  self,
  incarnation,
  startedAt,
  fleet: undefined,
  electorate: undefined,
  grants: new Map(),
  isRecovering: true,
  recoveredFrom: new Set(),
});

/**
 * End of a voter's abstention period: by then no vote of an earlier incarnation can win an election any
 * more, and every lease that it granted has expired.
 */
export const abstentionEnd = (state: Voter): Timestamp => addMs(state.startedAt, maxLeaseMs);

/** Number of votes that form a majority of `size` voters. */
export const quorumSize = (size: number): number => Math.floor(size / 2) + 1;

const newerElectorate = (current: Electorate | undefined, received: Electorate): Electorate =>
  current === undefined || received.serial > current.serial ? received : current;

const isMember = (electorate: Electorate, node: NodeId): boolean =>
  electorate.members.some((member) => member.node === node);

const refusesResignation = (
  grant: LeaseGrant | undefined,
  request: FrameOf<'vote-request'>,
): boolean => grant?.epoch !== request.epoch || grant.node !== request.node;

const refusesRenewal = (grant: LeaseGrant, request: FrameOf<'vote-request'>): boolean =>
  grant.epoch > request.epoch || (grant.epoch === request.epoch && grant.node !== request.node);

const refusesElection = (
  grant: LeaseGrant,
  request: FrameOf<'vote-request'>,
  now: Timestamp,
): boolean => {
  if (request.epoch <= grant.epoch) return true;
  if (grant.leaseHolder !== request.node && now < grant.leaseEndsAt) return true;
  if (request.duty === primaryLease && !grant.inSyncSet.includes(request.node)) return true;
  return false;
};

/** Whether the voter refuses a request; `electorate` is the newer one of the voter's and the request's. */
const refuses = (
  state: Voter,
  request: FrameOf<'vote-request'>,
  electorate: Electorate,
  now: Timestamp,
): boolean => {
  if (state.fleet !== undefined && state.fleet !== request.fleet) return true;
  if (request.electorate.serial < electorate.serial) return true;
  if (!isMember(electorate, state.self)) return true;
  const grant = state.grants.get(request.duty);
  if (request.stepDown) return refusesResignation(grant, request);
  if (now < abstentionEnd(state)) return true;
  if (grant === undefined) return false;
  return request.renew ? refusesRenewal(grant, request) : refusesElection(grant, request, now);
};

/**
 * Whether a renewal proves that its holder won with a vote of this incarnation of the voter, so that no
 * grant of an earlier incarnation can be newer. A delayed or duplicated renewal does not echo this
 * incarnation and proves nothing.
 */
const provesWin = (
  state: Voter,
  grant: LeaseGrant | undefined,
  request: FrameOf<'vote-request'>,
): boolean =>
  request.renew &&
  !request.stepDown &&
  request.duty === primaryLease &&
  request.voterLife === state.incarnation &&
  grant?.epoch === request.epoch &&
  grant.node === request.node;

/** Grant that results from an accepted request. */
const grantFor = (
  grant: LeaseGrant | undefined,
  request: FrameOf<'vote-request'>,
  now: Timestamp,
): LeaseGrant => {
  const base = { epoch: request.epoch, node: request.node, leaseHolder: request.node };
  if (request.stepDown) {
    const restored = request.abandoned === true ? grant?.previousInSyncSet : undefined;
    return { ...base, leaseEndsAt: now, inSyncSet: restored ?? request.inSyncSet };
  }
  return {
    ...base,
    leaseEndsAt: addMs(now, Math.min(request.lease, maxLeaseMs)),
    inSyncSet: request.inSyncSet,
    previousInSyncSet: request.renew ? grant?.previousInSyncSet : grant?.inSyncSet,
  };
};

/** Refusal of a request, with the highest granted epoch and the remaining time of the conflicting lease. */
const refusalOf = (
  state: Voter,
  request: FrameOf<'vote-request'>,
  electorate: Electorate,
  now: Timestamp,
): FrameOf<'vote'> => {
  const grant = state.grants.get(request.duty);
  const leaseLeftMs = (grant?.leaseEndsAt ?? now) - now;
  const isRequesterOutdated = electorate.serial > request.electorate.serial;
  return {
    kind: 'vote',
    duty: request.duty,
    voter: state.self,
    life: state.incarnation,
    at: request.at,
    preVote: request.preVote,
    epoch: request.epoch,
    granted: false,
    recovering: state.isRecovering,
    highest: grant?.epoch ?? noEpoch,
    left: toDurationMs(Math.max(0, leaseLeftMs, abstentionEnd(state) - now)),
    ...(isRequesterOutdated ? { electorate } : {}),
  };
};

const grantedVote = (
  state: Voter,
  request: FrameOf<'vote-request'>,
  highest: Epoch,
): FrameOf<'vote'> => ({
  kind: 'vote',
  duty: request.duty,
  voter: state.self,
  life: state.incarnation,
  at: request.at,
  preVote: request.preVote,
  epoch: request.epoch,
  granted: true,
  recovering: state.isRecovering,
  highest,
});

/** Handles a vote request and returns the voter's new state and its vote. */
export const handleVoteRequest = (
  state: Voter,
  request: FrameOf<'vote-request'>,
  now: Timestamp,
): readonly [Voter, FrameOf<'vote'>] => {
  const electorate = newerElectorate(state.electorate, request.electorate);
  if (refuses(state, request, electorate, now))
    return [state, refusalOf(state, request, electorate, now)];
  const grant = state.grants.get(request.duty);
  if (request.preVote) return [state, grantedVote(state, request, grant?.epoch ?? noEpoch)];
  const next: Voter = {
    ...state,
    fleet: request.fleet,
    electorate,
    grants: withEntry(state.grants, request.duty, grantFor(grant, request, now)),
    isRecovering: state.isRecovering && !provesWin(state, grant, request),
  };
  return [next, grantedVote(state, request, request.epoch)];
};

/** Adopts a newer electorate published by the primary; ignores one of another fleet. */
export const adoptElectorate = (state: Voter, fleet: FleetId, electorate: Electorate): Voter => {
  if (state.fleet !== undefined && state.fleet !== fleet) return state;
  const newest = newerElectorate(state.electorate, electorate);
  return newest === state.electorate && state.fleet === fleet
    ? state
    : { ...state, fleet, electorate: newest };
};

/** Records of the voter's grants, for its peers to keep. */
export const grantRecords = (state: Voter): readonly LeaseGrantRecord[] =>
  [...state.grants].map(([duty, grant]) => ({
    duty,
    epoch: grant.epoch,
    node: grant.node,
    inSyncSet: [...grant.inSyncSet],
  }));
