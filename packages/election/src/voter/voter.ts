import {
  type LeaseName,
  type Epoch,
  type FleetId,
  type Incarnation,
  type Timestamp,
  type NodeId,
  addMs,
  noEpoch,
  primaryLease,
  withEntry,
  toDurationMs,
} from '@switchwheel/types';
import type { Electorate, FrameOf, LeaseGrantRecord } from '@switchwheel/transport';

/** The longest lease a voter grants; one that restarted abstains for as long. */
export const maxLeaseMs = 1000;

/** What a voter keeps of one duty: the highest epoch it granted, to whom, and until when. */
export interface LeaseGrant {
  readonly epoch: Epoch;
  readonly node: NodeId;
  /** Whose lease it is that stands until then: what is recalled of a higher epoch does not end a lease. */
  readonly leaseHolder: NodeId;
  readonly leaseEndsAt: Timestamp;
  /** For `primary`: the stores that hold every confirmed write under this epoch. */
  readonly inSyncSet: readonly NodeId[];
  /** The in-sync set of the grant before: it counts again if the candidate gives its round up. */
  readonly previousInSyncSet?: readonly NodeId[] | undefined;
}

export interface Voter {
  readonly self: NodeId;
  /** This life of the process: votes bear it, and only a renewal that echoes it proves a win. */
  readonly incarnation: Incarnation;
  readonly startedAt: Timestamp;
  readonly fleet: FleetId | undefined;
  readonly electorate: Electorate | undefined;
  readonly grants: ReadonlyMap<LeaseName, LeaseGrant>;
  /** While set, this voter restarted and does not yet know what it once granted. */
  readonly isRecovering: boolean;
  /** The peers that told what they remember since this voter's abstention ended. */
  readonly recoveredFrom: ReadonlySet<NodeId>;
}

export const newVoter = (me: NodeId, born: Timestamp, life: Incarnation): Voter => ({
  self: me,
  incarnation: life,
  startedAt: born,
  fleet: undefined,
  electorate: undefined,
  grants: new Map(),
  isRecovering: true,
  recoveredFrom: new Set(),
});

/**
 * When a voter's abstention ends: by then every vote that an earlier life of the process gave is
 * too old to win anything, and every lease that it granted is over.
 */
export const abstentionEnd = (state: Voter): Timestamp => addMs(state.startedAt, maxLeaseMs);

export const quorumSize = (size: number): number => Math.floor(size / 2) + 1;

const newestElectorate = (mine: Electorate | undefined, theirs: Electorate): Electorate =>
  mine === undefined || theirs.serial > mine.serial ? theirs : mine;

const isMember = (set: Electorate, node: NodeId): boolean =>
  set.members.some((one) => one.node === node);

/** The grant a voter would make, or why not. */
const refusalReason = (
  state: Voter,
  ballot: FrameOf<'vote-request'>,
  set: Electorate,
  now: Timestamp,
): string | undefined => {
  if (state.fleet !== undefined && state.fleet !== ballot.fleet) return 'another fleet';
  if (ballot.electorate.serial < set.serial) return 'an older electorate';
  if (!isMember(set, state.self)) return 'not a voter';
  const mine = state.grants.get(ballot.duty);
  if (ballot.stepDown)
    return mine?.epoch === ballot.epoch && mine.node === ballot.node
      ? undefined
      : 'not the grant that stands';
  if (now < abstentionEnd(state)) return 'too young';
  if (ballot.renew) {
    if (mine === undefined) return undefined;
    if (mine.epoch > ballot.epoch) return 'a higher epoch';
    return mine.epoch === ballot.epoch && mine.node !== ballot.node ? 'another holder' : undefined;
  }
  if (mine === undefined) return undefined;
  if (ballot.epoch <= mine.epoch) return 'not a higher epoch';
  if (mine.leaseHolder !== ballot.node && now < mine.leaseEndsAt) return 'the lease stands';
  if (ballot.duty === primaryLease && !mine.inSyncSet.includes(ballot.node)) return 'not in sync';
  return undefined;
};

/**
 * Whether a renewal proves that its holder won with a vote of this life of the voter: then nothing
 * that an earlier life granted can be newer. A renewal that was under way for long, or that is
 * delivered twice, does not echo this life and proves nothing.
 */
const provesWinOf = (
  state: Voter,
  mine: LeaseGrant | undefined,
  ballot: FrameOf<'vote-request'>,
): boolean =>
  ballot.renew &&
  !ballot.stepDown &&
  ballot.duty === primaryLease &&
  ballot.voterLife === state.incarnation &&
  mine?.epoch === ballot.epoch &&
  mine.node === ballot.node;

/** The grant that a ballot leaves behind. */
const grantFor = (
  mine: LeaseGrant | undefined,
  ballot: FrameOf<'vote-request'>,
  now: Timestamp,
): LeaseGrant => {
  const base = { epoch: ballot.epoch, node: ballot.node, leaseHolder: ballot.node };
  if (ballot.stepDown) {
    const before = ballot.abandoned === true ? mine?.previousInSyncSet : undefined;
    return { ...base, leaseEndsAt: now, inSyncSet: before ?? ballot.inSyncSet };
  }
  return {
    ...base,
    leaseEndsAt: addMs(now, Math.min(ballot.lease, maxLeaseMs)),
    inSyncSet: ballot.inSyncSet,
    previousInSyncSet: ballot.renew ? mine?.previousInSyncSet : mine?.inSyncSet,
  };
};

/** Takes a ballot: the one place where a voter's memory changes by a vote. */
export const handleVoteRequest = (
  state: Voter,
  ballot: FrameOf<'vote-request'>,
  now: Timestamp,
): readonly [Voter, FrameOf<'vote'>] => {
  const set = newestElectorate(state.electorate, ballot.electorate);
  const why = refusalReason(state, ballot, set, now);
  const mine = state.grants.get(ballot.duty);
  const highest = mine?.epoch ?? noEpoch;
  const base = {
    kind: 'vote' as const,
    duty: ballot.duty,
    voter: state.self,
    life: state.incarnation,
    at: ballot.at,
    preVote: ballot.preVote,
  };
  if (why !== undefined) {
    const told = set.serial > ballot.electorate.serial ? { electorate: set } : {};
    const left = Math.max(0, (mine?.leaseEndsAt ?? now) - now, abstentionEnd(state) - now);
    return [
      state,
      {
        ...base,
        epoch: ballot.epoch,
        granted: false,
        recovering: state.isRecovering,
        highest,
        left: toDurationMs(left),
        ...told,
      },
    ];
  }
  if (ballot.preVote)
    return [
      state,
      { ...base, epoch: ballot.epoch, granted: true, recovering: state.isRecovering, highest },
    ];
  const grant = grantFor(mine, ballot, now);
  const provesWin = provesWinOf(state, mine, ballot);
  const next: Voter = {
    ...state,
    fleet: ballot.fleet,
    electorate: set,
    grants: withEntry(state.grants, ballot.duty, grant),
    isRecovering: state.isRecovering && !provesWin,
  };
  return [
    next,
    {
      ...base,
      epoch: ballot.epoch,
      granted: true,
      recovering: state.isRecovering,
      highest: ballot.epoch,
    },
  ];
};

/** What a peer remembers, and the newest gossip of this voter's registry that it had by then. */
export interface PeerGrants {
  readonly from: NodeId;
  readonly isRecovering: boolean;
  readonly records: readonly LeaseGrantRecord[];
  readonly lastGossipHeard:
    { readonly incarnation: Incarnation; readonly at: Timestamp } | undefined;
}

/** Whether a peer spoke after this voter's abstention ended: only then does it remember all that matters. */
const spokeInTime = (state: Voter, memory: PeerGrants): boolean =>
  memory.lastGossipHeard?.incarnation === state.incarnation &&
  memory.lastGossipHeard.at >= abstentionEnd(state);

/** Takes what a peer remembers; enough of them make a recovering voter whole. */
export const recoverGrants = (state: Voter, memory: PeerGrants, now: Timestamp): Voter => {
  if (!state.isRecovering || memory.isRecovering) return state;
  let grants = state.grants;
  for (const word of memory.records) {
    const mine = grants.get(word.duty);
    if (mine !== undefined && mine.epoch >= word.epoch) continue;
    const lease =
      mine !== undefined && now < mine.leaseEndsAt
        ? { leaseHolder: mine.leaseHolder, leaseEndsAt: mine.leaseEndsAt }
        : { leaseHolder: word.node, leaseEndsAt: addMs(now, maxLeaseMs) };
    grants = withEntry(grants, word.duty, {
      epoch: word.epoch,
      node: word.node,
      inSyncSet: word.inSyncSet,
      ...lease,
    });
  }
  const heardFrom = spokeInTime(state, memory)
    ? new Set([...state.recoveredFrom, memory.from])
    : state.recoveredFrom;
  const set = state.electorate;
  const others =
    set === undefined
      ? 0
      : set.members.filter((one) => one.node !== state.self && heardFrom.has(one.node)).length;
  const enough =
    set !== undefined && others >= set.members.length - quorumSize(set.members.length) + 1;
  return { ...state, grants, recoveredFrom: heardFrom, isRecovering: !enough };
};

/** Takes a newer electorate that the primary published. */
export const adoptElectorate = (state: Voter, fleet: FleetId, set: Electorate): Voter => {
  if (state.fleet !== undefined && state.fleet !== fleet) return state;
  const next = newestElectorate(state.electorate, set);
  return next === state.electorate && state.fleet === fleet
    ? state
    : { ...state, fleet, electorate: next };
};

export const grantRecords = (state: Voter): readonly LeaseGrantRecord[] =>
  [...state.grants].map(([duty, grant]) => ({
    duty,
    epoch: grant.epoch,
    node: grant.node,
    inSyncSet: [...grant.inSyncSet],
  }));
