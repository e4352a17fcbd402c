import {
  type RandomState,
  type LeaseName,
  type Epoch,
  type FleetId,
  type Incarnation,
  type Timestamp,
  type NodeId,
  type Transition,
  addMs,
  nextEpoch,
  noEpoch,
  withEntry,
  nextRandom,
  transition,
  toEpoch,
  toTimestamp,
  toDurationMs,
} from '@switchwheel/types';
import {
  type Electorate,
  type FrameOf,
  type LeaseHolder,
  type ProcessEffect,
  send,
} from '@switchwheel/transport';
import { maxLeaseMs, quorumSize } from '../voter/voter.js';

/** What a holder ends its lease early by, against clocks that run unlike. */
export const leaseSafetyMarginMs = 50;
const roundTimeout = 300;

/** The newest vote of a voter in an epoch: when it was asked for, and which life of the voter gave it. */
interface CountedVote {
  readonly at: Timestamp;
  readonly recovering: boolean;
  readonly life: Incarnation;
}

interface VoteCount {
  readonly epoch: Epoch;
  readonly votes: ReadonlyMap<NodeId, CountedVote>;
}

/** Where a node stands towards one duty. */
export type CandidatePhase =
  | { readonly phase: 'idle'; readonly retryAt: Timestamp }
  /** Asks first whether a round could be won: one that can't would only drive the epoch up. */
  | ({
      readonly phase: 'preVote';
      readonly startedAt: Timestamp;
      readonly refusals: ReadonlyMap<NodeId, number>;
    } & VoteCount)
  | ({
      readonly phase: 'requestingVotes';
      readonly startedAt: Timestamp;
      readonly refusals: ReadonlyMap<NodeId, number>;
    } & VoteCount)
  | ({
      readonly phase: 'holdingLease';
      readonly leaseEndsAt: Timestamp;
      readonly renewalRequestedAt: Timestamp;
      readonly wonAt: Timestamp;
    } & VoteCount);

export interface Candidate {
  readonly self: NodeId;
  readonly leaseName: LeaseName;
  readonly phase: CandidatePhase;
  /** The highest epoch heard of for this duty. */
  readonly highest: Epoch;
  readonly inSyncSet: readonly NodeId[];
  /** How long a lease is asked for; it is renewed four times within it. */
  readonly leaseMs: number;
}

/** What a candidate needs to know of its fleet. */
export interface ElectionContext {
  readonly fleet: FleetId;
  readonly electorate: Electorate;
  readonly holderRecord?: LeaseHolder;
  /** Whether votes of voters without memory count. */
  readonly countsRecoveringVoters: boolean;
}

export const newCandidate = (
  me: NodeId,
  duty: LeaseName,
  inSyncSet: readonly NodeId[],
  lease = maxLeaseMs,
): Candidate => ({
  self: me,
  leaseName: duty,
  leaseMs: lease,
  phase: { phase: 'idle', retryAt: toTimestamp(0) },
  highest: noEpoch,
  inSyncSet,
});

export const holdsLease = (candidate: Candidate, now: Timestamp): boolean =>
  candidate.phase.phase === 'holdingLease' && now < candidate.phase.leaseEndsAt;
export const heldEpoch = (candidate: Candidate): Epoch =>
  candidate.phase.phase === 'idle' || candidate.phase.phase === 'preVote'
    ? noEpoch
    : candidate.phase.epoch;

/** Takes note of an epoch someone else has. */
export const observeEpoch = (candidate: Candidate, epoch: Epoch): Candidate =>
  epoch > candidate.highest ? { ...candidate, highest: epoch } : candidate;

/** Which life of a voter gave the newest vote that this holder has of it. */
const lifeOf = (candidate: Candidate, voter: NodeId): Incarnation | undefined =>
  candidate.phase.phase === 'holdingLease' ? candidate.phase.votes.get(voter)?.life : undefined;

const voteRequests = (
  candidate: Candidate,
  context: ElectionContext,
  epoch: Epoch,
  now: Timestamp,
  renew: boolean,
  stepDown = false,
  preVote = false,
  abandoned = false,
): readonly ProcessEffect[] =>
  context.electorate.members.map((one) => {
    const voterLife = renew ? lifeOf(candidate, one.node) : undefined;
    return send(one.address, {
      kind: 'vote-request',
      fleet: context.fleet,
      electorate: context.electorate,
      duty: candidate.leaseName,
      epoch,
      node: candidate.self,
      at: now,
      lease: toDurationMs(candidate.leaseMs),
      renew,
      preVote,
      inSyncSet: [...candidate.inSyncSet],
      stepDown,
      ...(context.holderRecord === undefined ? {} : { held: { ...context.holderRecord, epoch } }),
      ...(voterLife === undefined ? {} : { voterLife }),
      ...(abandoned ? { abandoned } : {}),
    });
  });

/** Opens a round of ballots for a new epoch; a holder may do so to change the in-sync set. */
export const startElection = (
  candidate: Candidate,
  context: ElectionContext,
  inSyncSet: readonly NodeId[],
  now: Timestamp,
): Transition<Candidate, ProcessEffect> => {
  const epoch = nextEpoch(toEpoch(Math.max(candidate.highest, heldEpoch(candidate))));
  const next: Candidate = {
    ...candidate,
    highest: epoch,
    inSyncSet,
    phase: {
      phase: 'requestingVotes',
      startedAt: now,
      epoch,
      votes: new Map(),
      refusals: new Map(),
    },
  };
  return transition(next, ...voteRequests(next, context, epoch, now, false));
};

/** Asks the voters whether they would vote for this store, before it stands. */
const startPreVote = (
  candidate: Candidate,
  context: ElectionContext,
  now: Timestamp,
): Transition<Candidate, ProcessEffect> => {
  const epoch = nextEpoch(candidate.highest);
  const next: Candidate = {
    ...candidate,
    phase: { phase: 'preVote', startedAt: now, epoch, votes: new Map(), refusals: new Map() },
  };
  return transition(next, ...voteRequests(next, context, epoch, now, false, false, true));
};

/** Gives the duty up: the voters are told so that it falls vacant at once. */
export const stepDown = (
  candidate: Candidate,
  context: ElectionContext | undefined,
  now: Timestamp,
  rest: number,
): Transition<Candidate, ProcessEffect> => {
  const told =
    context !== undefined && holdsLease(candidate, now)
      ? voteRequests(candidate, context, heldEpoch(candidate), now, true, true)
      : [];
  return transition({ ...candidate, phase: { phase: 'idle', retryAt: addMs(now, rest) } }, ...told);
};

/** The lease that enough votes give: counted from before the asking. */
const leaseEnd = (
  context: ElectionContext,
  own: VoteCount,
  lease: number,
): Timestamp | undefined => {
  const times = context.electorate.members
    .map((one) => own.votes.get(one.node))
    .filter((one) => one !== undefined && (context.countsRecoveringVoters || !one.recovering))
    .map((one) => (one === undefined ? 0 : one.at))
    .sort((one, two) => two - one);
  const last = times[quorumSize(context.electorate.members.length) - 1];
  return last === undefined ? undefined : toTimestamp(last + lease - leaseSafetyMarginMs);
};

/** Counts a vote. */
export const countVote = (
  candidate: Candidate,
  context: ElectionContext,
  word: FrameOf<'vote'>,
  now: Timestamp,
): Candidate => {
  const known = observeEpoch(candidate, word.highest);
  const own = known.phase;
  if (
    own.phase === 'idle' ||
    word.epoch !== own.epoch ||
    word.preVote !== (own.phase === 'preVote')
  )
    return known;
  // A lease that ran out is over for good, whatever votes are still on their way.
  if (own.phase === 'holdingLease' && now >= own.leaseEndsAt)
    return { ...known, phase: { phase: 'idle', retryAt: now } };
  if (!word.granted)
    return own.phase === 'requestingVotes' || own.phase === 'preVote'
      ? {
          ...known,
          phase: { ...own, refusals: withEntry(own.refusals, word.voter, word.left ?? 0) },
        }
      : known;
  const before = own.votes.get(word.voter);
  if (before !== undefined && before.at >= word.at) return known;
  const votes = withEntry(own.votes, word.voter, {
    at: word.at,
    recovering: word.recovering,
    life: word.life,
  });
  if (own.phase === 'preVote') return { ...known, phase: { ...own, votes } };
  if (own.phase === 'requestingVotes') {
    const until = leaseEnd(context, { epoch: own.epoch, votes }, known.leaseMs);
    if (until === undefined || until <= now) return { ...known, phase: { ...own, votes } };
    return {
      ...known,
      phase: {
        phase: 'holdingLease',
        epoch: own.epoch,
        votes,
        leaseEndsAt: until,
        renewalRequestedAt: toTimestamp(now - known.leaseMs),
        wonAt: now,
      },
    };
  }
  // Once won, a renewal by any voter counts: memory only matters for the winning.
  const until = leaseEnd(
    { ...context, countsRecoveringVoters: true },
    { epoch: own.epoch, votes },
    known.leaseMs,
  );
  return {
    ...known,
    phase: {
      ...own,
      votes,
      leaseEndsAt:
        until === undefined ? own.leaseEndsAt : toTimestamp(Math.max(until, own.leaseEndsAt)),
    },
  };
};

/** How long a round that can't be won any more should wait for the next: until enough leases are over. */
const retryDelay = (
  context: ElectionContext,
  refusals: ReadonlyMap<NodeId, number>,
): number | undefined => {
  const size = context.electorate.members.length;
  const need = quorumSize(size);
  const lefts = context.electorate.members
    .flatMap((one) => {
      const left = refusals.get(one.node);
      return left === undefined ? [] : [left];
    })
    .sort((one, two) => one - two);
  const over = lefts.length - (size - need);
  return over <= 0 ? undefined : Math.min(maxLeaseMs, lefts[over - 1] ?? 0);
};

/** Lets time pass: renews a lease that stands, ends one that is over, opens a round when `keen`. */
export const tickCandidate = (
  candidate: Candidate,
  context: ElectionContext,
  wantsElection: boolean,
  dice: RandomState,
  now: Timestamp,
): Transition<{ readonly candidate: Candidate; readonly dice: RandomState }, ProcessEffect> => {
  const own = candidate.phase;
  if (own.phase === 'holdingLease') {
    if (now >= own.leaseEndsAt) {
      const [chance, rest] = nextRandom(dice);
      return transition({
        candidate: {
          ...candidate,
          phase: { phase: 'idle', retryAt: addMs(now, 50 + 200 * chance) },
        },
        dice: rest,
      });
    }
    if (now - own.renewalRequestedAt < candidate.leaseMs / 4)
      return transition({ candidate, dice });
    return transition(
      { candidate: { ...candidate, phase: { ...own, renewalRequestedAt: now } }, dice },
      ...voteRequests(candidate, context, own.epoch, now, true),
    );
  }
  if (own.phase === 'preVote' && leaseEnd(context, own, candidate.leaseMs) !== undefined) {
    const opened = startElection(candidate, context, candidate.inSyncSet, now);
    return { state: { candidate: opened.state, dice }, effects: opened.effects };
  }
  if (own.phase === 'requestingVotes' || own.phase === 'preVote') {
    const wait = retryDelay(context, own.refusals);
    if (wait === undefined && now - own.startedAt < roundTimeout)
      return transition({ candidate, dice });
    const [chance, rest] = nextRandom(dice);
    // What was granted in a round that is lost is given back, so that nobody waits for it to run out.
    const back =
      own.phase === 'preVote'
        ? []
        : voteRequests(candidate, context, own.epoch, now, true, true, false, true);
    return transition(
      {
        candidate: {
          ...candidate,
          phase: { phase: 'idle', retryAt: addMs(now, (wait ?? 50) + 10 + 150 * chance) },
        },
        dice: rest,
      },
      ...back,
    );
  }
  if (!wantsElection || now < own.retryAt) return transition({ candidate, dice });
  const opened = startPreVote(candidate, context, now);
  return { state: { candidate: opened.state, dice }, effects: opened.effects };
};
