/** Counts the votes of a candidate and derives the end of its lease from them. */

import { type NodeId, type Timestamp, toTimestamp, withEntry } from '@switchwheel/types';
import type { FrameOf } from '@switchwheel/transport';
import { quorumSize } from '../voter/voter.js';
import {
  type Candidate,
  type CandidatePhase,
  type CountedVote,
  type ElectionContext,
  type VoteCount,
  observeEpoch,
} from './candidate.js';

/** Time by which a holder ends its lease early, to tolerate clock drift between holder and voters. */
export const leaseSafetyMarginMs = 50;

/**
 * End of the lease that the votes grant; undefined without a quorum. The lease starts when the votes were
 * requested, so it ends at the holder before it ends at any voter.
 */
export const leaseEnd = (
  context: ElectionContext,
  count: VoteCount,
  leaseMs: number,
): Timestamp | undefined => {
  const newestFirst = context.electorate.members
    .map((member) => count.votes.get(member.node))
    .filter((vote) => vote !== undefined && (context.countsRecoveringVoters || !vote.wasRecovering))
    .map((vote) => (vote === undefined ? 0 : vote.requestedAt))
    .sort((left, right) => right - left);
  const decisive = newestFirst[quorumSize(context.electorate.members.length) - 1];
  return decisive === undefined ? undefined : toTimestamp(decisive + leaseMs - leaseSafetyMarginMs);
};

type ActivePhase = Exclude<CandidatePhase, { readonly phase: 'idle' }>;

const withVotes = (
  phase: ActivePhase,
  votes: ReadonlyMap<NodeId, CountedVote>,
  context: ElectionContext,
  leaseMs: number,
  now: Timestamp,
): CandidatePhase => {
  const count: VoteCount = { epoch: phase.epoch, votes };
  switch (phase.phase) {
    case 'preVote':
      return { ...phase, votes };
    case 'requestingVotes': {
      const leaseEndsAt = leaseEnd(context, count, leaseMs);
      if (leaseEndsAt === undefined || leaseEndsAt <= now) return { ...phase, votes };
      return {
        phase: 'holdingLease',
        ...count,
        leaseEndsAt,
        renewalRequestedAt: toTimestamp(now - leaseMs),
        wonAt: now,
      };
    }
    case 'holdingLease': {
      // Renewals by recovering voters count: lost grants only matter for the election itself.
      const renewedUntil = leaseEnd({ ...context, countsRecoveringVoters: true }, count, leaseMs);
      const leaseEndsAt = toTimestamp(
        Math.max(renewedUntil ?? phase.leaseEndsAt, phase.leaseEndsAt),
      );
      return { ...phase, votes, leaseEndsAt };
    }
  }
};

/** Applies a vote: counts a granted one, records a refusal, and ignores a vote of another round. */
export const countVote = (
  candidate: Candidate,
  context: ElectionContext,
  vote: FrameOf<'vote'>,
  now: Timestamp,
): Candidate => {
  const observed = observeEpoch(candidate, vote.highest);
  const { phase } = observed;
  if (phase.phase === 'idle') return observed;
  // A later time is one of before the restart of this machine and its clock: the vote is for an earlier process.
  if (vote.at > now) return observed;
  if (vote.epoch !== phase.epoch || vote.preVote !== (phase.phase === 'preVote')) return observed;
  // Votes that arrive after the lease has expired do not revive it.
  if (phase.phase === 'holdingLease' && now >= phase.leaseEndsAt)
    return { ...observed, phase: { phase: 'idle', retryAt: now } };
  if (!vote.granted) {
    if (phase.phase === 'holdingLease') return observed;
    const refusals = withEntry(phase.refusals, vote.voter, vote.left ?? 0);
    return { ...observed, phase: { ...phase, refusals } };
  }
  const earlier = phase.votes.get(vote.voter);
  if (earlier !== undefined && earlier.requestedAt >= vote.at) return observed;
  const votes = withEntry(phase.votes, vote.voter, {
    requestedAt: vote.at,
    wasRecovering: vote.recovering,
    incarnation: vote.life,
  });
  return { ...observed, phase: withVotes(phase, votes, context, observed.leaseMs, now) };
};
