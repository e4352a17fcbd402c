/**
 * Candidate side of an election: pre-vote, vote requests, lease renewal, retry after a lost round, and
 * stepping down. Votes are counted by `vote-count.ts`.
 */

import {
  type NodeId,
  type RandomState,
  type Timestamp,
  type Transition,
  addMs,
  nextEpoch,
  nextRandom,
  toEpoch,
  transition,
} from '@switchwheel/types';
import type { ProcessEffect } from '@switchwheel/transport';
import { maxLeaseMs, quorumSize } from '../voter/voter.js';
import {
  type Candidate,
  type CandidatePhase,
  type ElectionContext,
  heldEpoch,
  holdsLease,
} from './candidate.js';
import { leaseEnd } from './vote-count.js';
import { voteRequests } from './vote-requests.js';

const roundTimeoutMs = 300;
const renewalsPerLease = 4;

/** Delay before a former holder campaigns again after its lease expired, plus random jitter. */
const expiredLeasePauseMs = 50;
const expiredLeaseJitterMs = 200;

/**
 * Delay before the next round after a lost one; the undecided-round part applies only if no refusal states a wait.
 */
const undecidedRoundPauseMs = 50;
const lostRoundPauseMs = 10;
const lostRoundJitterMs = 150;

/** Requests votes in a new epoch. A lease holder also does so to change the in-sync set. */
export const startElection = (
  candidate: Candidate,
  context: ElectionContext,
  inSyncSet: readonly NodeId[],
  now: Timestamp,
): Transition<Candidate, ProcessEffect> => {
  const epoch = nextEpoch(toEpoch(Math.max(candidate.highestEpoch, heldEpoch(candidate))));
  const next: Candidate = {
    ...candidate,
    highestEpoch: epoch,
    inSyncSet,
    phase: {
      phase: 'requestingVotes',
      startedAt: now,
      epoch,
      votes: new Map(),
      refusals: new Map(),
    },
  };
  return transition(next, ...voteRequests(next, context, epoch, now, 'election'));
};

const startPreVote = (
  candidate: Candidate,
  context: ElectionContext,
  now: Timestamp,
): Transition<Candidate, ProcessEffect> => {
  const epoch = nextEpoch(candidate.highestEpoch);
  const next: Candidate = {
    ...candidate,
    phase: { phase: 'preVote', startedAt: now, epoch, votes: new Map(), refusals: new Map() },
  };
  return transition(next, ...voteRequests(next, context, epoch, now, 'preVote'));
};

/**
 * Releases the lease and notifies the voters, so that another candidate can acquire it at once. The
 * candidate stays idle for `retryDelayMs`.
 */
export const stepDown = (
  candidate: Candidate,
  context: ElectionContext | undefined,
  now: Timestamp,
  retryDelayMs: number,
): Transition<Candidate, ProcessEffect> => {
  const resignations =
    context !== undefined && holdsLease(candidate, now)
      ? voteRequests(candidate, context, heldEpoch(candidate), now, 'resignation')
      : [];
  return transition(
    { ...candidate, phase: { phase: 'idle', retryAt: addMs(now, retryDelayMs) } },
    ...resignations,
  );
};

/**
 * Delay in milliseconds after a round that can no longer be won: until enough of the conflicting leases have
 * expired. Undefined while the round can still be won.
 */
const refusedRoundDelayMs = (
  context: ElectionContext,
  refusals: ReadonlyMap<NodeId, number>,
): number | undefined => {
  const electorateSize = context.electorate.members.length;
  const remainingLeasesMs = context.electorate.members
    .flatMap((member) => {
      const remainingMs = refusals.get(member.node);
      return remainingMs === undefined ? [] : [remainingMs];
    })
    .sort((left, right) => left - right);
  const tolerableRefusals = electorateSize - quorumSize(electorateSize);
  const excessRefusals = remainingLeasesMs.length - tolerableRefusals;
  if (excessRefusals <= 0) return undefined;
  return Math.min(maxLeaseMs, remainingLeasesMs[excessRefusals - 1] ?? 0);
};

/** A candidate and the state of the random source for its retry jitter. */
interface CandidateWithRandom {
  readonly candidate: Candidate;
  readonly randomState: RandomState;
}

type TickResult = Transition<CandidateWithRandom, ProcessEffect>;
type PhaseOf<K extends CandidatePhase['phase']> = Extract<CandidatePhase, { readonly phase: K }>;

/** Makes the candidate idle for `pauseMs` plus a random fraction of `jitterMs`. */
const idleWithJitter = (
  { candidate, randomState }: CandidateWithRandom,
  now: Timestamp,
  pauseMs: number,
  jitterMs: number,
): CandidateWithRandom => {
  const [fraction, nextRandomState] = nextRandom(randomState);
  const retryAt = addMs(now, pauseMs + jitterMs * fraction);
  return {
    candidate: { ...candidate, phase: { phase: 'idle', retryAt } },
    randomState: nextRandomState,
  };
};

const tickHolder = (
  state: CandidateWithRandom,
  phase: PhaseOf<'holdingLease'>,
  context: ElectionContext,
  now: Timestamp,
): TickResult => {
  const { candidate, randomState } = state;
  if (now >= phase.leaseEndsAt)
    return transition(idleWithJitter(state, now, expiredLeasePauseMs, expiredLeaseJitterMs));
  if (now - phase.renewalRequestedAt < candidate.leaseMs / renewalsPerLease)
    return transition(state);
  return transition(
    { candidate: { ...candidate, phase: { ...phase, renewalRequestedAt: now } }, randomState },
    ...voteRequests(candidate, context, phase.epoch, now, 'renewal'),
  );
};

const tickRound = (
  state: CandidateWithRandom,
  phase: PhaseOf<'preVote' | 'requestingVotes'>,
  context: ElectionContext,
  now: Timestamp,
): TickResult => {
  const delayMs = refusedRoundDelayMs(context, phase.refusals);
  if (delayMs === undefined && now - phase.startedAt < roundTimeoutMs) return transition(state);
  const pauseMs = (delayMs ?? undecidedRoundPauseMs) + lostRoundPauseMs;
  const next = idleWithJitter(state, now, pauseMs, lostRoundJitterMs);
  if (phase.phase === 'preVote') return transition(next);
  // Returns the votes of the lost round, so that other candidates need not wait for them to expire.
  return transition(
    next,
    ...voteRequests(state.candidate, context, phase.epoch, now, 'abandonment'),
  );
};

const withRandom = (
  next: Transition<Candidate, ProcessEffect>,
  randomState: RandomState,
): TickResult => ({
  state: { candidate: next.state, randomState },
  effects: next.effects,
});

/**
 * Advances the candidate to `now`: renews a held lease, drops an expired one, evaluates a pre-vote, ends a
 * lost round, and starts a pre-vote if `wantsElection` is set and the retry delay has passed.
 */
export const tickCandidate = (
  candidate: Candidate,
  context: ElectionContext,
  wantsElection: boolean,
  randomState: RandomState,
  now: Timestamp,
): Transition<
  { readonly candidate: Candidate; readonly randomState: RandomState },
  ProcessEffect
> => {
  const state: CandidateWithRandom = { candidate, randomState };
  const { phase } = candidate;
  switch (phase.phase) {
    case 'holdingLease':
      return tickHolder(state, phase, context, now);
    case 'preVote':
      return leaseEnd(context, phase, candidate.leaseMs) === undefined
        ? tickRound(state, phase, context, now)
        : withRandom(startElection(candidate, context, candidate.inSyncSet, now), randomState);
    case 'requestingVotes':
      return tickRound(state, phase, context, now);
    case 'idle':
      return wantsElection && now >= phase.retryAt
        ? withRandom(startPreVote(candidate, context, now), randomState)
        : transition(state);
  }
};
