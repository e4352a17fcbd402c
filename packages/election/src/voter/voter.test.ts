/** Guards against two valid leases at once and against lost grants after a voter restarts. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  type Timestamp,
  noSeq,
  primaryLease,
  toAddress,
  toEpoch,
  toFleetId,
  toIncarnation,
  toTimestamp,
  toNodeId,
  toDurationMs,
} from '@switchwheel/types';
import type { FrameOf } from '@switchwheel/transport';
import { recoverGrants } from './recovery.js';
import { type Voter, handleVoteRequest, maxLeaseMs, newVoter } from './voter.js';

const voterNames = ['voter-1', 'voter-2', 'voter-3'].map((name) => toNodeId(name));
const [self, second, third] = voterNames;
const oldHolder = toNodeId('store-1');
const newHolder = toNodeId('store-2');
const startedAt = toTimestamp(50_000);
const incarnation = toIncarnation(7);

const request = (change: Partial<FrameOf<'vote-request'>>): FrameOf<'vote-request'> => ({
  kind: 'vote-request',
  fleet: toFleetId('f1'),
  electorate: {
    serial: noSeq,
    members: voterNames.map((node, index) => ({
      node,
      address: toAddress(`10.0.0.${index + 1}:1`),
    })),
  },
  duty: primaryLease,
  epoch: toEpoch(5),
  node: oldHolder,
  at: toTimestamp(1),
  lease: toDurationMs(maxLeaseMs),
  preVote: false,
  renew: false,
  inSyncSet: [oldHolder, newHolder],
  stepDown: false,
  ...change,
});

const restarted = (): Voter => {
  assert.ok(self !== undefined);
  return newVoter(self, startedAt, incarnation);
};
const after = (ms: number): Timestamp => toTimestamp(startedAt + ms);

void test('a restarted voter grants nothing, renewals included, until the longest lease has passed', () => {
  const early = after(maxLeaseMs - 1);
  for (const change of [
    {},
    { preVote: true },
    { renew: true },
    { renew: true, voterLife: incarnation },
  ]) {
    const [next, vote] = handleVoteRequest(restarted(), request(change), early);
    assert.equal(vote.granted, false, JSON.stringify(change));
    assert.equal(next.grants.size, 0);
    assert.equal(
      handleVoteRequest(restarted(), request(change), after(maxLeaseMs))[1].granted,
      true,
    );
  }
});

void test("a restarted voter never renews the old holder's lease while its earlier vote can still elect a new holder", () => {
  // Before its restart it voted for the new holder, which had sent its request 1 ms earlier and can win within 950
  // ms.
  const wonUntil = after(-1 + maxLeaseMs - 50);
  for (let at = 0; at < maxLeaseMs; at += 10) {
    const [, vote] = handleVoteRequest(restarted(), request({ renew: true }), after(at));
    assert.ok(!vote.granted || after(at) >= wonUntil, `granted after ${at} ms`);
  }
});

void test("a renewal ends the recovery only if it echoes the voter's incarnation; a duplicate delivery does not", () => {
  const renewal = request({ renew: true });
  let voter = restarted();
  for (let delivery = 0; delivery < 3; delivery += 1) {
    voter = handleVoteRequest(voter, renewal, after(maxLeaseMs + 10 * delivery))[0];
    assert.equal(voter.isRecovering, true, `delivery ${delivery + 1}`);
  }
  const echoOfEarlierIncarnation = request({ renew: true, voterLife: toIncarnation(6) });
  voter = handleVoteRequest(voter, echoOfEarlierIncarnation, after(maxLeaseMs + 50))[0];
  assert.equal(
    voter.isRecovering,
    true,
    'an echo of an earlier incarnation does not end the recovery',
  );
  const [next, vote] = handleVoteRequest(
    voter,
    request({ renew: true, voterLife: incarnation }),
    after(1100),
  );
  assert.equal(vote.life, incarnation);
  assert.equal(next.isRecovering, false);
});

void test("peers' records end the recovery only if made after the abstention period", () => {
  assert.ok(second !== undefined && third !== undefined);
  const [recoveringVoter] = handleVoteRequest(
    restarted(),
    request({ renew: true }),
    after(maxLeaseMs),
  );
  const peerGrants = (from: typeof second, at: number, heardIncarnation = incarnation) => ({
    from,
    isRecovering: false,
    records: [{ duty: primaryLease, epoch: toEpoch(6), node: newHolder, inSyncSet: [newHolder] }],
    lastGossipHeard: { incarnation: heardIncarnation, at: after(at) },
  });
  const now = after(maxLeaseMs + 300);
  const recoveredFromBoth = (...heard: readonly [number, number]): Voter =>
    recoverGrants(
      recoverGrants(recoveringVoter, peerGrants(second, heard[0]), now),
      peerGrants(third, heard[1]),
      now,
    );
  assert.equal(
    recoveredFromBoth(900, 1000).isRecovering,
    true,
    'one peer made its records before the abstention period ended',
  );
  assert.equal(recoveredFromBoth(1000, 1000).isRecovering, false);
  assert.equal(
    recoveredFromBoth(900, 900).grants.get(primaryLease)?.epoch,
    6,
    'the epoch of an early record is adopted',
  );
  const fromEarlierIncarnation = recoverGrants(
    recoveringVoter,
    peerGrants(second, 1000, toIncarnation(6)),
    now,
  );
  assert.equal(
    fromEarlierIncarnation.recoveredFrom.size,
    0,
    'records for an earlier incarnation of the voter do not count',
  );
});

void test('an abandoned election restores the in-sync set; one that may have been won does not', () => {
  const renewed = handleVoteRequest(restarted(), request({ renew: true }), after(maxLeaseMs))[0];
  const singleMemberElection = { epoch: toEpoch(6), inSyncSet: [oldHolder] };
  const granted = handleVoteRequest(renewed, request(singleMemberElection), after(1100))[0];
  const rival = request({ epoch: toEpoch(7), node: newHolder });
  assert.equal(
    handleVoteRequest(granted, rival, after(3000))[1].granted,
    false,
    'the candidate may have won with itself as the only member',
  );
  const resignation = request({ ...singleMemberElection, renew: true, stepDown: true });
  const resigned = handleVoteRequest(granted, resignation, after(1200))[0];
  assert.equal(
    handleVoteRequest(resigned, rival, after(1300))[1].granted,
    false,
    'the candidate won and resigned',
  );
  const abandoned = handleVoteRequest(granted, { ...resignation, abandoned: true }, after(1200))[0];
  assert.equal(handleVoteRequest(abandoned, rival, after(1300))[1].granted, true);
  assert.equal(abandoned.grants.get(primaryLease)?.epoch, 6, 'the epoch stays granted');
});
