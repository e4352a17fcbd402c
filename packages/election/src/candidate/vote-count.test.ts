/** Guards against a lease that outlasts the grants of its voters because of votes for requests of an earlier process. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  noEpoch,
  noSeq,
  primaryLease,
  toAddress,
  toEpoch,
  toFleetId,
  toIncarnation,
  toNodeId,
  toTimestamp,
} from '@switchwheel/types';
import type { FrameOf } from '@switchwheel/transport';
import { startElection } from './campaign.js';
import { type Candidate, type ElectionContext, holdsLease, newCandidate } from './candidate.js';
import { countVote } from './vote-count.js';

const leaseMs = 1500;
const voters = [1, 2, 3].map((number) => ({
  node: toNodeId(`r${number}`),
  address: toAddress(`10.0.0.${number}:1`),
}));
const context: ElectionContext = {
  fleet: toFleetId('f1'),
  electorate: { serial: noSeq, members: voters },
  countsRecoveringVoters: true,
};
const startedAt = toTimestamp(1000);
const epoch = toEpoch(1);

const vote = (voter: (typeof voters)[number], at: number): FrameOf<'vote'> => ({
  kind: 'vote',
  duty: primaryLease,
  epoch,
  voter: voter.node,
  life: toIncarnation(1),
  at: toTimestamp(at),
  preVote: false,
  granted: true,
  recovering: false,
  highest: epoch,
});

/** Candidate in its first round, with the votes of all voters for requests at a time of the candidate's clock. */
const candidateWithVotes = (requestedAt: number): Candidate => {
  const candidate = newCandidate(toNodeId('s1'), primaryLease, [], leaseMs);
  assert.equal(candidate.highestEpoch, noEpoch);
  const { state } = startElection(candidate, context, [], startedAt);
  return voters.reduce(
    (counted, voter) =>
      countVote(counted, context, vote(voter, requestedAt), toTimestamp(startedAt + 10)),
    state,
  );
};

// Guards against two holders: a vote for a request of before the machine's restart, whose clock was ahead of the new one.
void test('votes for requests at a later time of the clock win no lease', () => {
  assert.equal(holdsLease(candidateWithVotes(1_000_000), toTimestamp(startedAt + 20)), false);
});

void test('a lease that was won ends before the duration that the voters were asked for', () => {
  const candidate = candidateWithVotes(startedAt);
  assert.equal(holdsLease(candidate, toTimestamp(startedAt + 20)), true);
  assert.equal(holdsLease(candidate, toTimestamp(startedAt + leaseMs)), false);
});
