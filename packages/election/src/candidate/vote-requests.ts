/** Vote requests from a candidate to every voter of its electorate. */

import {
  type Epoch,
  type Incarnation,
  type NodeId,
  type Timestamp,
  toDurationMs,
} from '@switchwheel/types';
import { type FrameOf, type ProcessEffect, send } from '@switchwheel/transport';
import type { Candidate, ElectionContext } from './candidate.js';

/** Purpose of a vote request. */
export type VotePurpose =
  /** Asks how the voter would vote, without changing its state. */
  | 'preVote'
  | 'election'
  | 'renewal'
  /** Releases a held lease. */
  | 'resignation'
  /** Returns the votes of an election that was not won and can no longer be won. */
  | 'abandonment';

type PurposeFlags = Pick<FrameOf<'vote-request'>, 'renew' | 'preVote' | 'stepDown' | 'abandoned'>;

const flagsByPurpose: Readonly<Record<VotePurpose, PurposeFlags>> = {
  preVote: { renew: false, preVote: true, stepDown: false },
  election: { renew: false, preVote: false, stepDown: false },
  renewal: { renew: true, preVote: false, stepDown: false },
  resignation: { renew: true, preVote: false, stepDown: true },
  abandonment: { renew: true, preVote: false, stepDown: true, abandoned: true },
};

/** Incarnation of the voter at its newest vote; undefined if the candidate does not hold the lease. */
const incarnationOfVote = (candidate: Candidate, voter: NodeId): Incarnation | undefined =>
  candidate.phase.phase === 'holdingLease'
    ? candidate.phase.votes.get(voter)?.incarnation
    : undefined;

/** Builds one vote request per voter, in the order of the electorate. */
export const voteRequests = (
  candidate: Candidate,
  context: ElectionContext,
  epoch: Epoch,
  now: Timestamp,
  purpose: VotePurpose,
): readonly ProcessEffect[] => {
  const flags = flagsByPurpose[purpose];
  return context.electorate.members.map((voter) => {
    const voterLife = flags.renew ? incarnationOfVote(candidate, voter.node) : undefined;
    return send(voter.address, {
      kind: 'vote-request',
      fleet: context.fleet,
      electorate: context.electorate,
      duty: candidate.leaseName,
      epoch,
      node: candidate.self,
      at: now,
      lease: toDurationMs(candidate.leaseMs),
      ...flags,
      inSyncSet: [...candidate.inSyncSet],
      ...(context.holderRecord === undefined ? {} : { held: { ...context.holderRecord, epoch } }),
      ...(voterLife === undefined ? {} : { voterLife }),
    });
  });
};
