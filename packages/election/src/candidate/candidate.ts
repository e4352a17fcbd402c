/**
 * State of a candidate for one lease. `vote-count.ts` changes it on votes, `campaign.ts` on time and on the
 * node's own decisions.
 */

import {
  type Epoch,
  type FleetId,
  type Incarnation,
  type LeaseName,
  type NodeId,
  type Timestamp,
  noEpoch,
  toTimestamp,
} from '@switchwheel/types';
import type { Electorate, LeaseHolder } from '@switchwheel/transport';
import { maxLeaseMs } from '../voter/voter.js';

/** Newest granted vote of a voter in an epoch. */
export interface CountedVote {
  /** Time of the vote request by the candidate's clock; the lease starts here. */
  readonly requestedAt: Timestamp;
  /** Whether the voter had restarted and not yet recovered its grants. */
  readonly wasRecovering: boolean;
  /** Incarnation of the voter that granted the vote. */
  readonly incarnation: Incarnation;
}

/** Votes granted in one epoch, by voter. */
export interface VoteCount {
  readonly epoch: Epoch;
  readonly votes: ReadonlyMap<NodeId, CountedVote>;
}

/** Undecided round of vote requests. */
interface Round extends VoteCount {
  readonly startedAt: Timestamp;
  /** By voter that refused: remaining time of the conflicting lease in milliseconds. */
  readonly refusals: ReadonlyMap<NodeId, number>;
}

/** Phase of a candidate. */
export type CandidatePhase =
  | { readonly phase: 'idle'; readonly retryAt: Timestamp }
  /** Checks whether an election can be won, so that a hopeless one does not raise the epoch (Raft's pre-vote). */
  | ({ readonly phase: 'preVote' } & Round)
  | ({ readonly phase: 'requestingVotes' } & Round)
  | ({
      readonly phase: 'holdingLease';
      readonly leaseEndsAt: Timestamp;
      readonly renewalRequestedAt: Timestamp;
      readonly wonAt: Timestamp;
    } & VoteCount);

/** Candidacy of a node for one lease. */
export interface Candidate {
  readonly self: NodeId;
  readonly leaseName: LeaseName;
  readonly phase: CandidatePhase;
  /** Highest epoch of the lease that this node has observed. */
  readonly highestEpoch: Epoch;
  /** For the primary's lease: the stores that hold every confirmed write, recorded by the voters with their grant. */
  readonly inSyncSet: readonly NodeId[];
  /** Requested lease duration; the holder renews the lease four times within it. */
  readonly leaseMs: number;
}

/** Fleet-wide input of a candidate. */
export interface ElectionContext {
  readonly fleet: FleetId;
  readonly electorate: Electorate;
  /** Address record of this node as lease holder, sent with vote requests. */
  readonly holderRecord?: LeaseHolder;
  /** Whether votes of restarted voters that have not recovered are counted. */
  readonly countsRecoveringVoters: boolean;
}

/** Creates an idle candidate that has observed no epoch. */
export const newCandidate = (
  self: NodeId,
  leaseName: LeaseName,
  inSyncSet: readonly NodeId[],
  leaseMs = maxLeaseMs,
): Candidate => ({
  self,
  leaseName,
  leaseMs,
  phase: { phase: 'idle', retryAt: toTimestamp(0) },
  highestEpoch: noEpoch,
  inSyncSet,
});

/** Whether the candidate holds the lease at `now`; the lease end already includes the safety margin. */
export const holdsLease = (candidate: Candidate, now: Timestamp): boolean =>
  candidate.phase.phase === 'holdingLease' && now < candidate.phase.leaseEndsAt;

/** Epoch in which the candidate requests votes or holds the lease; `noEpoch` otherwise. */
export const heldEpoch = (candidate: Candidate): Epoch =>
  candidate.phase.phase === 'idle' || candidate.phase.phase === 'preVote'
    ? noEpoch
    : candidate.phase.epoch;

/** Raises the highest observed epoch to an epoch reported by another node. */
export const observeEpoch = (candidate: Candidate, epoch: Epoch): Candidate =>
  epoch > candidate.highestEpoch ? { ...candidate, highestEpoch: epoch } : candidate;
