/**
 * The state of a node that stands for one lease. How votes change it is in `vote-count.ts`, how time and
 * the node's own decisions change it in `campaign.ts`.
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

/** The newest vote of a voter in an epoch. */
export interface CountedVote {
  /** When the candidate requested it, by the candidate's clock: a lease is counted from here. */
  readonly requestedAt: Timestamp;
  /** Whether the voter had lost its memory by a restart and not yet recovered it. */
  readonly wasRecovering: boolean;
  /** The incarnation of the voter that gave it. */
  readonly incarnation: Incarnation;
}

/** The votes granted in one epoch. */
export interface VoteCount {
  readonly epoch: Epoch;
  readonly votes: ReadonlyMap<NodeId, CountedVote>;
}

/** A round of vote requests that is not decided yet. */
interface Round extends VoteCount {
  readonly startedAt: Timestamp;
  /** By voter that refused: for how many milliseconds the lease in the way may still last. */
  readonly refusals: ReadonlyMap<NodeId, number>;
}

/** How far a candidate is. */
export type CandidatePhase =
  | { readonly phase: 'idle'; readonly retryAt: Timestamp }
  /** Asks whether an election could be won: one that can't would only drive the epoch up (Raft's pre-vote). */
  | ({ readonly phase: 'preVote' } & Round)
  | ({ readonly phase: 'requestingVotes' } & Round)
  | ({
      readonly phase: 'holdingLease';
      readonly leaseEndsAt: Timestamp;
      readonly renewalRequestedAt: Timestamp;
      readonly wonAt: Timestamp;
    } & VoteCount);

/** A node's candidacy for one lease. */
export interface Candidate {
  readonly self: NodeId;
  readonly leaseName: LeaseName;
  readonly phase: CandidatePhase;
  /** The highest epoch of the lease that this node knows of. */
  readonly highestEpoch: Epoch;
  /** For the primary's lease: the stores that hold every confirmed write, as voters are to remember them. */
  readonly inSyncSet: readonly NodeId[];
  /** How long a lease is requested for; it is renewed four times within that. */
  readonly leaseMs: number;
}

/** What a candidate needs to know of its fleet. */
export interface ElectionContext {
  readonly fleet: FleetId;
  readonly electorate: Electorate;
  /** How others reach this node as holder; sent along with vote requests. */
  readonly holderRecord?: LeaseHolder;
  /** Whether votes of voters that restarted and have not recovered count. */
  readonly countsRecoveringVoters: boolean;
}

/** A candidate that has not stood for the lease yet. */
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

/** Whether the candidate holds the lease at `now`, its own safety margin deducted. */
export const holdsLease = (candidate: Candidate, now: Timestamp): boolean =>
  candidate.phase.phase === 'holdingLease' && now < candidate.phase.leaseEndsAt;

/** The epoch that the candidate requests votes or holds the lease in; `noEpoch` if neither. */
export const heldEpoch = (candidate: Candidate): Epoch =>
  candidate.phase.phase === 'idle' || candidate.phase.phase === 'preVote'
    ? noEpoch
    : candidate.phase.epoch;

/** Records an epoch that another node has. */
export const observeEpoch = (candidate: Candidate, epoch: Epoch): Candidate =>
  epoch > candidate.highestEpoch ? { ...candidate, highestEpoch: epoch } : candidate;
