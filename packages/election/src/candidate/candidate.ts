import {
  type Dice,
  type Duty,
  type Epoch,
  type FleetId,
  type Incarnation,
  type Moment,
  type NodeId,
  type Step,
  later,
  nextEpoch,
  noEpoch,
  put,
  roll,
  step,
  toEpoch,
  toMoment,
  toSpan,
} from '@switchwheel/types';
import {
  type Electorate,
  type FrameOf,
  type Holder,
  type WireEffect,
  send,
} from '@switchwheel/transport';
import { leaseSpan, majority } from '../voter/voter.js';

/** What a holder ends its lease early by, against clocks that run unlike. */
export const leaseMargin = 50;
const roundTimeout = 300;

/** The newest vote of a voter in an epoch: when it was asked for, and which life of the voter gave it. */
interface CountedVote {
  readonly at: Moment;
  readonly recovering: boolean;
  readonly life: Incarnation;
}

interface VoteCount {
  readonly epoch: Epoch;
  readonly votes: ReadonlyMap<NodeId, CountedVote>;
}

/** Where a node stands towards one duty. */
export type Phase =
  | { readonly phase: 'idle'; readonly retry: Moment }
  /** Asks first whether a round could be won: one that can't would only drive the epoch up. */
  | ({
      readonly phase: 'preVote';
      readonly since: Moment;
      readonly refusals: ReadonlyMap<NodeId, number>;
    } & VoteCount)
  | ({
      readonly phase: 'requestingVotes';
      readonly since: Moment;
      readonly refusals: ReadonlyMap<NodeId, number>;
    } & VoteCount)
  | ({
      readonly phase: 'holdingLease';
      readonly until: Moment;
      readonly asked: Moment;
      readonly won: Moment;
    } & VoteCount);

export interface Candidate {
  readonly me: NodeId;
  readonly duty: Duty;
  readonly phase: Phase;
  /** The highest epoch heard of for this duty. */
  readonly highest: Epoch;
  readonly inSyncSet: readonly NodeId[];
  /** How long a lease is asked for; it is renewed four times within it. */
  readonly lease: number;
}

/** What a candidate needs to know of its fleet. */
export interface ElectionContext {
  readonly fleet: FleetId;
  readonly electorate: Electorate;
  readonly held?: Holder;
  /** Whether votes of voters without memory count. */
  readonly countRecovering: boolean;
}

export const newCandidate = (
  me: NodeId,
  duty: Duty,
  inSyncSet: readonly NodeId[],
  lease = leaseSpan,
): Candidate => ({
  me,
  duty,
  lease,
  phase: { phase: 'idle', retry: toMoment(0) },
  highest: noEpoch,
  inSyncSet,
});

export const holdsLease = (stand: Candidate, now: Moment): boolean =>
  stand.phase.phase === 'holdingLease' && now < stand.phase.until;
export const heldEpoch = (stand: Candidate): Epoch =>
  stand.phase.phase === 'idle' || stand.phase.phase === 'preVote' ? noEpoch : stand.phase.epoch;

/** Takes note of an epoch someone else has. */
export const observeEpoch = (stand: Candidate, epoch: Epoch): Candidate =>
  epoch > stand.highest ? { ...stand, highest: epoch } : stand;

/** Which life of a voter gave the newest vote that this holder has of it. */
const lifeOf = (stand: Candidate, voter: NodeId): Incarnation | undefined =>
  stand.phase.phase === 'holdingLease' ? stand.phase.votes.get(voter)?.life : undefined;

const voteRequests = (
  stand: Candidate,
  poll: ElectionContext,
  epoch: Epoch,
  now: Moment,
  renew: boolean,
  stepDown = false,
  preVote = false,
  abandoned = false,
): readonly WireEffect[] =>
  poll.electorate.members.map((one) => {
    const voterLife = renew ? lifeOf(stand, one.node) : undefined;
    return send(one.address, {
      kind: 'vote-request',
      fleet: poll.fleet,
      electorate: poll.electorate,
      duty: stand.duty,
      epoch,
      node: stand.me,
      at: now,
      lease: toSpan(stand.lease),
      renew,
      preVote,
      inSyncSet: [...stand.inSyncSet],
      stepDown,
      ...(poll.held === undefined ? {} : { held: { ...poll.held, epoch } }),
      ...(voterLife === undefined ? {} : { voterLife }),
      ...(abandoned ? { abandoned } : {}),
    });
  });

/** Opens a round of ballots for a new epoch; a holder may do so to change the in-sync set. */
export const requestVotes = (
  stand: Candidate,
  poll: ElectionContext,
  inSyncSet: readonly NodeId[],
  now: Moment,
): Step<Candidate, WireEffect> => {
  const epoch = nextEpoch(toEpoch(Math.max(stand.highest, heldEpoch(stand))));
  const next: Candidate = {
    ...stand,
    highest: epoch,
    inSyncSet,
    phase: { phase: 'requestingVotes', since: now, epoch, votes: new Map(), refusals: new Map() },
  };
  return step(next, ...voteRequests(next, poll, epoch, now, false));
};

/** Asks the voters whether they would vote for this store, before it stands. */
const startPreVote = (
  stand: Candidate,
  poll: ElectionContext,
  now: Moment,
): Step<Candidate, WireEffect> => {
  const epoch = nextEpoch(stand.highest);
  const next: Candidate = {
    ...stand,
    phase: { phase: 'preVote', since: now, epoch, votes: new Map(), refusals: new Map() },
  };
  return step(next, ...voteRequests(next, poll, epoch, now, false, false, true));
};

/** Gives the duty up: the voters are told so that it falls vacant at once. */
export const stepDown = (
  stand: Candidate,
  poll: ElectionContext | undefined,
  now: Moment,
  rest: number,
): Step<Candidate, WireEffect> => {
  const told =
    poll !== undefined && holdsLease(stand, now)
      ? voteRequests(stand, poll, heldEpoch(stand), now, true, true)
      : [];
  return step({ ...stand, phase: { phase: 'idle', retry: later(now, rest) } }, ...told);
};

/** The lease that enough votes give: counted from before the asking. */
const leaseEnd = (poll: ElectionContext, own: VoteCount, lease: number): Moment | undefined => {
  const times = poll.electorate.members
    .map((one) => own.votes.get(one.node))
    .filter((one) => one !== undefined && (poll.countRecovering || !one.recovering))
    .map((one) => (one === undefined ? 0 : one.at))
    .sort((one, two) => two - one);
  const last = times[majority(poll.electorate.members.length) - 1];
  return last === undefined ? undefined : toMoment(last + lease - leaseMargin);
};

/** Counts a vote. */
export const countVote = (
  stand: Candidate,
  poll: ElectionContext,
  word: FrameOf<'vote'>,
  now: Moment,
): Candidate => {
  const known = observeEpoch(stand, word.highest);
  const own = known.phase;
  if (
    own.phase === 'idle' ||
    word.epoch !== own.epoch ||
    word.preVote !== (own.phase === 'preVote')
  )
    return known;
  // A lease that ran out is over for good, whatever votes are still on their way.
  if (own.phase === 'holdingLease' && now >= own.until)
    return { ...known, phase: { phase: 'idle', retry: now } };
  if (!word.granted)
    return own.phase === 'requestingVotes' || own.phase === 'preVote'
      ? { ...known, phase: { ...own, refusals: put(own.refusals, word.voter, word.left ?? 0) } }
      : known;
  const before = own.votes.get(word.voter);
  if (before !== undefined && before.at >= word.at) return known;
  const votes = put(own.votes, word.voter, {
    at: word.at,
    recovering: word.recovering,
    life: word.life,
  });
  if (own.phase === 'preVote') return { ...known, phase: { ...own, votes } };
  if (own.phase === 'requestingVotes') {
    const until = leaseEnd(poll, { epoch: own.epoch, votes }, known.lease);
    if (until === undefined || until <= now) return { ...known, phase: { ...own, votes } };
    return {
      ...known,
      phase: {
        phase: 'holdingLease',
        epoch: own.epoch,
        votes,
        until,
        asked: toMoment(now - known.lease),
        won: now,
      },
    };
  }
  // Once won, a renewal by any voter counts: memory only matters for the winning.
  const until = leaseEnd(
    { ...poll, countRecovering: true },
    { epoch: own.epoch, votes },
    known.lease,
  );
  return {
    ...known,
    phase: {
      ...own,
      votes,
      until: until === undefined ? own.until : toMoment(Math.max(until, own.until)),
    },
  };
};

/** How long a round that can't be won any more should wait for the next: until enough leases are over. */
const retryDelay = (
  poll: ElectionContext,
  refusals: ReadonlyMap<NodeId, number>,
): number | undefined => {
  const size = poll.electorate.members.length;
  const need = majority(size);
  const lefts = poll.electorate.members
    .flatMap((one) => {
      const left = refusals.get(one.node);
      return left === undefined ? [] : [left];
    })
    .sort((one, two) => one - two);
  const over = lefts.length - (size - need);
  return over <= 0 ? undefined : Math.min(leaseSpan, lefts[over - 1] ?? 0);
};

/** Lets time pass: renews a lease that stands, ends one that is over, opens a round when `keen`. */
export const tickCandidate = (
  stand: Candidate,
  poll: ElectionContext,
  keen: boolean,
  dice: Dice,
  now: Moment,
): Step<{ readonly stand: Candidate; readonly dice: Dice }, WireEffect> => {
  const own = stand.phase;
  if (own.phase === 'holdingLease') {
    if (now >= own.until) {
      const [chance, rest] = roll(dice);
      return step({
        stand: { ...stand, phase: { phase: 'idle', retry: later(now, 50 + 200 * chance) } },
        dice: rest,
      });
    }
    if (now - own.asked < stand.lease / 4) return step({ stand, dice });
    return step(
      { stand: { ...stand, phase: { ...own, asked: now } }, dice },
      ...voteRequests(stand, poll, own.epoch, now, true),
    );
  }
  if (own.phase === 'preVote' && leaseEnd(poll, own, stand.lease) !== undefined) {
    const opened = requestVotes(stand, poll, stand.inSyncSet, now);
    return { state: { stand: opened.state, dice }, effects: opened.effects };
  }
  if (own.phase === 'requestingVotes' || own.phase === 'preVote') {
    const wait = retryDelay(poll, own.refusals);
    if (wait === undefined && now - own.since < roundTimeout) return step({ stand, dice });
    const [chance, rest] = roll(dice);
    // What was granted in a round that is lost is given back, so that nobody waits for it to run out.
    const back =
      own.phase === 'preVote'
        ? []
        : voteRequests(stand, poll, own.epoch, now, true, true, false, true);
    return step(
      {
        stand: {
          ...stand,
          phase: { phase: 'idle', retry: later(now, (wait ?? 50) + 10 + 150 * chance) },
        },
        dice: rest,
      },
      ...back,
    );
  }
  if (!keen || now < own.retry) return step({ stand, dice });
  const opened = startPreVote(stand, poll, now);
  return { state: { stand: opened.state, dice }, effects: opened.effects };
};
