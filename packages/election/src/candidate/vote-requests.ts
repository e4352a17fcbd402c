/** The vote requests that a candidate sends to every voter of its electorate. */

import {
  type Epoch,
  type Incarnation,
  type NodeId,
  type Timestamp,
  toDurationMs,
} from '@switchwheel/types';
import { type FrameOf, type ProcessEffect, send } from '@switchwheel/transport';
import type { Candidate, ElectionContext } from './candidate.js';

/** What a vote request is for. */
export type VotePurpose =
  /** Asks what the vote would be and changes nothing at the voter. */
  | 'preVote'
  | 'election'
  | 'renewal'
  /** Gives up a lease that was held. */
  | 'resignation'
  /** Gives back the votes of an election that was not won, and never will be. */
  | 'abandonment';

type PurposeFlags = Pick<FrameOf<'vote-request'>, 'renew' | 'preVote' | 'stepDown' | 'abandoned'>;

const flagsByPurpose: Readonly<Record<VotePurpose, PurposeFlags>> = {
  preVote: { renew: false, preVote: true, stepDown: false },
  election: { renew: false, preVote: false, stepDown: false },
  renewal: { renew: true, preVote: false, stepDown: false },
  resignation: { renew: true, preVote: false, stepDown: true },
  abandonment: { renew: true, preVote: false, stepDown: true, abandoned: true },
};

/** The incarnation of a voter that gave the newest vote which this holder has of it. */
const incarnationOfVote = (candidate: Candidate, voter: NodeId): Incarnation | undefined =>
  candidate.phase.phase === 'holdingLease'
    ? candidate.phase.votes.get(voter)?.incarnation
    : undefined;

/** One vote request to each voter, in the order of the electorate. */
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
