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
const [me, second, third] = voterNames;
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
  assert.ok(me !== undefined);
  return newVoter(me, startedAt, incarnation);
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

void test("a restarted voter never renews the old holder's lease while its vote for a new holder may count", () => {
  // Before its restart it voted for the new holder, who asked 1 ms before that and wins within 950 ms.
  const wonUntil = after(-1 + maxLeaseMs - 50);
  for (let at = 0; at < maxLeaseMs; at += 10) {
    const [, vote] = handleVoteRequest(restarted(), request({ renew: true }), after(at));
    assert.ok(!vote.granted || after(at) >= wonUntil, `granted after ${at} ms`);
  }
});

void test("a renewal ends the recovery only if it echoes the voter's incarnation, not by being delivered twice", () => {
  const renewal = request({ renew: true });
  let voter = restarted();
  for (let turn = 0; turn < 3; turn += 1) {
    voter = handleVoteRequest(voter, renewal, after(maxLeaseMs + 10 * turn))[0];
    assert.equal(voter.isRecovering, true, `delivery ${turn + 1}`);
  }
  const echoOfEarlierIncarnation = request({ renew: true, voterLife: toIncarnation(6) });
  voter = handleVoteRequest(voter, echoOfEarlierIncarnation, after(maxLeaseMs + 50))[0];
  assert.equal(voter.isRecovering, true, 'an echo of an earlier life');
  const [next, vote] = handleVoteRequest(
    voter,
    request({ renew: true, voterLife: incarnation }),
    after(1100),
  );
  assert.equal(vote.life, incarnation);
  assert.equal(next.isRecovering, false);
});

void test("peers' records end the recovery only if made after the abstention", () => {
  assert.ok(second !== undefined && third !== undefined);
  const [known] = handleVoteRequest(restarted(), request({ renew: true }), after(maxLeaseMs));
  const peerGrants = (from: typeof second, at: number, heardIncarnation = incarnation) => ({
    from,
    isRecovering: false,
    records: [{ duty: primaryLease, epoch: toEpoch(6), node: newHolder, inSyncSet: [newHolder] }],
    lastGossipHeard: { incarnation: heardIncarnation, at: after(at) },
  });
  const now = after(maxLeaseMs + 300);
  const both = (...heard: readonly [number, number]): Voter =>
    recoverGrants(
      recoverGrants(known, peerGrants(second, heard[0]), now),
      peerGrants(third, heard[1]),
      now,
    );
  assert.equal(both(900, 1000).isRecovering, true, 'one spoke too early');
  assert.equal(both(1000, 1000).isRecovering, false);
  assert.equal(
    both(900, 900).grants.get(primaryLease)?.epoch,
    6,
    'the epoch is taken all the same',
  );
  const other = recoverGrants(known, peerGrants(second, 1000, toIncarnation(6)), now);
  assert.equal(other.recoveredFrom.size, 0, 'what was said to an earlier life');
});

void test('an abandoned election restores the in-sync set; one that may have been won does not', () => {
  const first = handleVoteRequest(restarted(), request({ renew: true }), after(maxLeaseMs))[0];
  const alone = { epoch: toEpoch(6), inSyncSet: [oldHolder] };
  const asked = handleVoteRequest(first, request(alone), after(1100))[0];
  const rival = request({ epoch: toEpoch(7), node: newHolder });
  assert.equal(
    handleVoteRequest(asked, rival, after(3000))[1].granted,
    false,
    'it may have won alone',
  );
  const back = request({ ...alone, renew: true, stepDown: true });
  const resigned = handleVoteRequest(asked, back, after(1200))[0];
  assert.equal(
    handleVoteRequest(resigned, rival, after(1300))[1].granted,
    false,
    'it won and resigned',
  );
  const abandoned = handleVoteRequest(asked, { ...back, abandoned: true }, after(1200))[0];
  assert.equal(handleVoteRequest(abandoned, rival, after(1300))[1].granted, true);
  assert.equal(abandoned.grants.get(primaryLease)?.epoch, 6, 'the epoch stays taken');
});
