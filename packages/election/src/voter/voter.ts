/**
 * A voter: grants leases, each to one node at a time and for ever higher epochs. Its memory changes by
 * vote requests here and, after a restart, by what its peers remember (`recovery.ts`). It keeps nothing
 * on disk: a voter that restarted abstains until everything it may have granted has expired.
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

/** The longest lease a voter grants, in milliseconds; a voter that restarted abstains for as long. */
export const maxLeaseMs = 1000;

/** What a voter remembers of one lease: the highest epoch it granted, to whom, and until when. */
export interface LeaseGrant {
  readonly epoch: Epoch;
  readonly node: NodeId;
  /**
   * Whose lease lasts until `leaseEndsAt`. Differs from `node` after a recovery: a higher epoch that a
   * peer remembers does not end a lease that this voter granted.
   */
  readonly leaseHolder: NodeId;
  readonly leaseEndsAt: Timestamp;
  /** For the primary's lease: the stores that hold every confirmed write under this epoch. */
  readonly inSyncSet: readonly NodeId[];
  /** The in-sync set of the grant before; restored if the candidate abandons its election. */
  readonly previousInSyncSet?: readonly NodeId[] | undefined;
}

/** The state of a voter. */
export interface Voter {
  readonly self: NodeId;
  /** This run of the process: votes carry it, and only a renewal that echoes it proves a win. */
  readonly incarnation: Incarnation;
  readonly startedAt: Timestamp;
  readonly fleet: FleetId | undefined;
  readonly electorate: Electorate | undefined;
  readonly grants: ReadonlyMap<LeaseName, LeaseGrant>;
  /** Whether this voter restarted and does not yet know what it granted before. */
  readonly isRecovering: boolean;
  /** The peers whose records were received since this voter's abstention ended. */
  readonly recoveredFrom: ReadonlySet<NodeId>;
}

/** A voter that has just started, and therefore recovers. */
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
 * When a voter's abstention ends: by then every vote that an earlier incarnation gave is too old to win
 * an election, and every lease that it granted is over.
 */
export const abstentionEnd = (state: Voter): Timestamp => addMs(state.startedAt, maxLeaseMs);

/** The number of votes that is a majority of `size` voters. */
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

/** Whether the voter refuses a request; `electorate` is the newer of its own and the request's. */
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
 * Whether a renewal proves that its holder won with a vote of this incarnation of the voter: then
 * nothing that an earlier incarnation granted can be newer. A renewal that was under way for long, or
 * that is delivered twice, does not echo this incarnation and proves nothing.
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

/** The grant that follows from a request which is not refused. */
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

/** A refusal: names the highest epoch granted and for how long the lease in the way may still last. */
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

/** Answers a vote request: the one place where a voter's grants change by a vote. */
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

/** Adopts a newer electorate that the primary published; ignores one of another fleet. */
export const adoptElectorate = (state: Voter, fleet: FleetId, electorate: Electorate): Voter => {
  if (state.fleet !== undefined && state.fleet !== fleet) return state;
  const newest = newerElectorate(state.electorate, electorate);
  return newest === state.electorate && state.fleet === fleet
    ? state
    : { ...state, fleet, electorate: newest };
};

/** The voter's grants as peers are to remember them. */
export const grantRecords = (state: Voter): readonly LeaseGrantRecord[] =>
  [...state.grants].map(([duty, grant]) => ({
    duty,
    epoch: grant.epoch,
    node: grant.node,
    inSyncSet: [...grant.inSyncSet],
  }));
