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
import type { Electorate, FrameOf, Memory } from '@switchwheel/transport';

/** The longest lease a witness grants; one that restarted abstains for as long. */
export const leaseSpan = 1000;

/** What a witness keeps of one duty: the highest epoch it granted, to whom, and until when. */
export interface Grant {
  readonly epoch: Epoch;
  readonly node: NodeId;
  /** Whose lease it is that stands until then: what is recalled of a higher epoch does not end a lease. */
  readonly lessee: NodeId;
  readonly until: Moment;
  /** For `primary`: the stores that hold every confirmed write under this epoch. */
  readonly insync: readonly NodeId[];
}

export interface Witness {
  readonly me: NodeId;
  readonly born: Moment;
  readonly fleet: FleetId | undefined;
  readonly electorate: Electorate | undefined;
  readonly grants: ReadonlyMap<Duty, Grant>;
  /** While set, this witness restarted and does not yet know what it once granted. */
  readonly blank: boolean;
  /** Colleagues that remember and were heard since this witness was born, with their birth. */
  readonly told: ReadonlyMap<NodeId, boolean>;
}

export const newWitness = (me: NodeId, born: Moment): Witness => ({
  me,
  born,
  fleet: undefined,
  electorate: undefined,
  grants: new Map(),
  blank: true,
  told: new Map(),
});

export const majority = (size: number): number => Math.floor(size / 2) + 1;

const newest = (mine: Electorate | undefined, theirs: Electorate): Electorate =>
  mine === undefined || theirs.serial > mine.serial ? theirs : mine;

const within = (set: Electorate, node: NodeId): boolean =>
  set.members.some((one) => one.node === node);

/** The grant a witness would make, or why not. */
const judge = (
  state: Witness,
  ballot: FrameOf<'ballot'>,
  set: Electorate,
  now: Moment,
): string | undefined => {
  if (state.fleet !== undefined && state.fleet !== ballot.fleet) return 'another fleet';
  if (ballot.electorate.serial < set.serial) return 'an older electorate';
  if (!within(set, state.me)) return 'not a witness';
  const mine = state.grants.get(ballot.duty);
  if (ballot.lay)
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
  if (ballot.duty === primary && !mine.insync.includes(ballot.node)) return 'not in sync';
  return undefined;
};

/** Takes a ballot: the one place where a witness's memory changes by a vote. */
export const vote = (
  state: Witness,
  ballot: FrameOf<'ballot'>,
  now: Moment,
): readonly [Witness, FrameOf<'vote'>] => {
  const set = newest(state.electorate, ballot.electorate);
  const why = judge(state, ballot, set, now);
  const mine = state.grants.get(ballot.duty);
  const highest = mine?.epoch ?? noEpoch;
  const base = {
    kind: 'vote' as const,
    duty: ballot.duty,
    witness: state.me,
    at: ballot.at,
    sound: ballot.sound,
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
        blank: state.blank,
        highest,
        left: toSpan(left),
        ...told,
      },
    ];
  }
  if (ballot.sound)
    return [state, { ...base, epoch: ballot.epoch, granted: true, blank: state.blank, highest }];
  const span = ballot.lay ? 0 : Math.min(ballot.lease, leaseSpan);
  const grant: Grant = {
    epoch: ballot.epoch,
    node: ballot.node,
    lessee: ballot.node,
    until: later(now, span),
    insync: ballot.insync,
  };
  // A holder that says it won an epoch this witness itself granted since birth leaves nothing older to remember.
  const sure =
    ballot.renew &&
    !ballot.lay &&
    ballot.duty === primary &&
    mine?.epoch === ballot.epoch &&
    mine.node === ballot.node;
  const next: Witness = {
    ...state,
    fleet: ballot.fleet,
    electorate: set,
    grants: put(state.grants, ballot.duty, grant),
    blank: state.blank && !sure,
  };
  return [
    next,
    { ...base, epoch: ballot.epoch, granted: true, blank: state.blank, highest: ballot.epoch },
  ];
};

/** Takes what a colleague remembers; enough of them make a blank witness whole. */
export const recall = (
  state: Witness,
  from: NodeId,
  blank: boolean,
  memories: readonly Memory[],
  now: Moment,
): Witness => {
  if (!state.blank || blank) return state;
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
      insync: word.insync,
      ...lease,
    });
  }
  const told = put(state.told, from, true);
  const set = state.electorate;
  const others =
    set === undefined
      ? 0
      : set.members.filter((one) => one.node !== state.me && told.has(one.node)).length;
  const enough =
    set !== undefined && others >= set.members.length - majority(set.members.length) + 1;
  return { ...state, grants, told, blank: !enough };
};

/** Takes a newer electorate that the primary published. */
export const seat = (state: Witness, fleet: FleetId, set: Electorate): Witness => {
  if (state.fleet !== undefined && state.fleet !== fleet) return state;
  const next = newest(state.electorate, set);
  return next === state.electorate && state.fleet === fleet
    ? state
    : { ...state, fleet, electorate: next };
};

export const memories = (state: Witness): readonly Memory[] =>
  [...state.grants].map(([duty, grant]) => ({
    duty,
    epoch: grant.epoch,
    node: grant.node,
    insync: [...grant.insync],
  }));
