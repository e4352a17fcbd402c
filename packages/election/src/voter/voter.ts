import {
  type Duty,
  type Epoch,
  type FleetId,
  type Moment,
  type NodeId,
  later,
  noEpoch,
  primary,
  put,
  toSpan,
} from '@switchwheel/types';
import type { Electorate, FrameOf, GrantRecord } from '@switchwheel/transport';

/** The longest lease a voter grants; one that restarted abstains for as long. */
export const leaseSpan = 1000;

/** What a voter keeps of one duty: the highest epoch it granted, to whom, and until when. */
export interface Grant {
  readonly epoch: Epoch;
  readonly node: NodeId;
  /** Whose lease it is that stands until then: what is recalled of a higher epoch does not end a lease. */
  readonly lessee: NodeId;
  readonly until: Moment;
  /** For `primary`: the stores that hold every confirmed write under this epoch. */
  readonly inSyncSet: readonly NodeId[];
}

export interface Voter {
  readonly me: NodeId;
  readonly born: Moment;
  readonly fleet: FleetId | undefined;
  readonly electorate: Electorate | undefined;
  readonly grants: ReadonlyMap<Duty, Grant>;
  /** While set, this voter restarted and does not yet know what it once granted. */
  readonly recovering: boolean;
  /** Colleagues that remember and were heard since this voter was born, with their birth. */
  readonly heardFrom: ReadonlyMap<NodeId, boolean>;
}

export const newVoter = (me: NodeId, born: Moment): Voter => ({
  me,
  born,
  fleet: undefined,
  electorate: undefined,
  grants: new Map(),
  recovering: true,
  heardFrom: new Map(),
});

export const majority = (size: number): number => Math.floor(size / 2) + 1;

const newestElectorate = (mine: Electorate | undefined, theirs: Electorate): Electorate =>
  mine === undefined || theirs.serial > mine.serial ? theirs : mine;

const isMember = (set: Electorate, node: NodeId): boolean =>
  set.members.some((one) => one.node === node);

/** The grant a voter would make, or why not. */
const refusalReason = (
  state: Voter,
  ballot: FrameOf<'vote-request'>,
  set: Electorate,
  now: Moment,
): string | undefined => {
  if (state.fleet !== undefined && state.fleet !== ballot.fleet) return 'another fleet';
  if (ballot.electorate.serial < set.serial) return 'an older electorate';
  if (!isMember(set, state.me)) return 'not a voter';
  const mine = state.grants.get(ballot.duty);
  if (ballot.stepDown)
    return mine?.epoch === ballot.epoch && mine.node === ballot.node
      ? undefined
      : 'not the grant that stands';
  if (ballot.renew) {
    if (mine === undefined) return undefined;
    if (mine.epoch > ballot.epoch) return 'a higher epoch';
    return mine.epoch === ballot.epoch && mine.node !== ballot.node ? 'another holder' : undefined;
  }
  if (now < later(state.born, leaseSpan)) return 'too young';
  if (mine === undefined) return undefined;
  if (ballot.epoch <= mine.epoch) return 'not a higher epoch';
  if (mine.lessee !== ballot.node && now < mine.until) return 'the lease stands';
  if (ballot.duty === primary && !mine.inSyncSet.includes(ballot.node)) return 'not in sync';
  return undefined;
};

/** Takes a ballot: the one place where a voter's memory changes by a vote. */
export const vote = (
  state: Voter,
  ballot: FrameOf<'vote-request'>,
  now: Moment,
): readonly [Voter, FrameOf<'vote'>] => {
  const set = newestElectorate(state.electorate, ballot.electorate);
  const why = refusalReason(state, ballot, set, now);
  const mine = state.grants.get(ballot.duty);
  const highest = mine?.epoch ?? noEpoch;
  const base = {
    kind: 'vote' as const,
    duty: ballot.duty,
    voter: state.me,
    at: ballot.at,
    preVote: ballot.preVote,
  };
  if (why !== undefined) {
    const told = set.serial > ballot.electorate.serial ? { electorate: set } : {};
    const left = Math.max(0, (mine?.until ?? now) - now, later(state.born, leaseSpan) - now);
    return [
      state,
      {
        ...base,
        epoch: ballot.epoch,
        granted: false,
        recovering: state.recovering,
        highest,
        left: toSpan(left),
        ...told,
      },
    ];
  }
  if (ballot.preVote)
    return [
      state,
      { ...base, epoch: ballot.epoch, granted: true, recovering: state.recovering, highest },
    ];
  const span = ballot.stepDown ? 0 : Math.min(ballot.lease, leaseSpan);
  const grant: Grant = {
    epoch: ballot.epoch,
    node: ballot.node,
    lessee: ballot.node,
    until: later(now, span),
    inSyncSet: ballot.inSyncSet,
  };
  // A holder that says it won an epoch this voter itself granted since birth leaves nothing older to remember.
  const sure =
    ballot.renew &&
    !ballot.stepDown &&
    ballot.duty === primary &&
    mine?.epoch === ballot.epoch &&
    mine.node === ballot.node;
  const next: Voter = {
    ...state,
    fleet: ballot.fleet,
    electorate: set,
    grants: put(state.grants, ballot.duty, grant),
    recovering: state.recovering && !sure,
  };
  return [
    next,
    {
      ...base,
      epoch: ballot.epoch,
      granted: true,
      recovering: state.recovering,
      highest: ballot.epoch,
    },
  ];
};

/** Takes what a peer remembers; enough of them make a recovering voter whole. */
export const recoverGrants = (
  state: Voter,
  from: NodeId,
  recovering: boolean,
  memories: readonly GrantRecord[],
  now: Moment,
): Voter => {
  if (!state.recovering || recovering) return state;
  let grants = state.grants;
  for (const word of memories) {
    const mine = grants.get(word.duty);
    if (mine !== undefined && mine.epoch >= word.epoch) continue;
    const lease =
      mine !== undefined && now < mine.until
        ? { lessee: mine.lessee, until: mine.until }
        : { lessee: word.node, until: later(now, leaseSpan) };
    grants = put(grants, word.duty, {
      epoch: word.epoch,
      node: word.node,
      inSyncSet: word.inSyncSet,
      ...lease,
    });
  }
  const told = put(state.heardFrom, from, true);
  const set = state.electorate;
  const others =
    set === undefined
      ? 0
      : set.members.filter((one) => one.node !== state.me && told.has(one.node)).length;
  const enough =
    set !== undefined && others >= set.members.length - majority(set.members.length) + 1;
  return { ...state, grants, heardFrom: told, recovering: !enough };
};

/** Takes a newer electorate that the primary published. */
export const adoptElectorate = (state: Voter, fleet: FleetId, set: Electorate): Voter => {
  if (state.fleet !== undefined && state.fleet !== fleet) return state;
  const next = newestElectorate(state.electorate, set);
  return next === state.electorate && state.fleet === fleet
    ? state
    : { ...state, fleet, electorate: next };
};

export const grantRecords = (state: Voter): readonly GrantRecord[] =>
  [...state.grants].map(([duty, grant]) => ({
    duty,
    epoch: grant.epoch,
    node: grant.node,
    inSyncSet: [...grant.inSyncSet],
  }));
