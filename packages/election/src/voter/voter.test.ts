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
import { type Voter, maxLeaseMs, newVoter, recoverGrants, handleVoteRequest } from './voter.js';

const voterNames = ['voter-1', 'voter-2', 'voter-3'].map((one) => toNodeId(one));
const [me, second, third] = voterNames;
const oldHolder = toNodeId('store-1');
const newHolder = toNodeId('store-2');
const born = toTimestamp(50_000);
const life = toIncarnation(7);

const request = (change: Partial<FrameOf<'vote-request'>>): FrameOf<'vote-request'> => ({
  kind: 'vote-request',
  fleet: toFleetId('f1'),
  electorate: {
    serial: noSeq,
    members: voterNames.map((node, at) => ({ node, address: toAddress(`10.0.0.${at + 1}:1`) })),
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
  return newVoter(me, born, life);
};
const after = (span: number): Timestamp => toTimestamp(born + span);

void test('a voter that restarted abstains from everything for a lease, renewals too', () => {
  const early = after(maxLeaseMs - 1);
  for (const change of [{}, { preVote: true }, { renew: true }, { renew: true, voterLife: life }]) {
    const [next, told] = handleVoteRequest(restarted(), request(change), early);
    assert.equal(told.granted, false, JSON.stringify(change));
    assert.equal(next.grants.size, 0);
    assert.equal(
      handleVoteRequest(restarted(), request(change), after(maxLeaseMs))[1].granted,
      true,
    );
  }
});

void test('its earlier vote for a new holder and a renewal of the old one never count at once', () => {
  // Before its restart it voted for the new holder, who asked 1 ms before that and wins within 950 ms.
  const wonUntil = after(-1 + maxLeaseMs - 50);
  for (let at = 0; at < maxLeaseMs; at += 10) {
    const [, told] = handleVoteRequest(restarted(), request({ renew: true }), after(at));
    assert.ok(!told.granted || after(at) >= wonUntil, `granted after ${at} ms`);
  }
});

void test('a renewal proves a win only if it echoes this life of the voter; one delivered twice does not', () => {
  const renewal = request({ renew: true });
  let voter = restarted();
  for (let turn = 0; turn < 3; turn += 1) {
    voter = handleVoteRequest(voter, renewal, after(maxLeaseMs + 10 * turn))[0];
    assert.equal(voter.isRecovering, true, `delivery ${turn + 1}`);
  }
  const earlierLife = request({ renew: true, voterLife: toIncarnation(6) });
  voter = handleVoteRequest(voter, earlierLife, after(maxLeaseMs + 50))[0];
  assert.equal(voter.isRecovering, true, 'an echo of an earlier life');
  const [next, told] = handleVoteRequest(
    voter,
    request({ renew: true, voterLife: life }),
    after(1100),
  );
  assert.equal(told.life, life);
  assert.equal(next.isRecovering, false);
});

void test('memories count once the peer is known to have spoken after the abstention', () => {
  assert.ok(second !== undefined && third !== undefined);
  const [known] = handleVoteRequest(restarted(), request({ renew: true }), after(maxLeaseMs));
  const memory = (from: typeof second, at: number, incarnation = life) => ({
    from,
    isRecovering: false,
    records: [{ duty: primaryLease, epoch: toEpoch(6), node: newHolder, inSyncSet: [newHolder] }],
    lastGossipHeard: { incarnation, at: after(at) },
  });
  const now = after(maxLeaseMs + 300);
  const both = (...heard: readonly [number, number]): Voter =>
    recoverGrants(
      recoverGrants(known, memory(second, heard[0]), now),
      memory(third, heard[1]),
      now,
    );
  assert.equal(both(900, 1000).isRecovering, true, 'one spoke too early');
  assert.equal(both(1000, 1000).isRecovering, false);
  assert.equal(
    both(900, 900).grants.get(primaryLease)?.epoch,
    6,
    'the epoch is taken all the same',
  );
  const other = recoverGrants(known, memory(second, 1000, toIncarnation(6)), now);
  assert.equal(other.recoveredFrom.size, 0, 'what was said to an earlier life');
});

void test('a round that its candidate gave up leaves the in-sync set as it was; one that may have been won does not', () => {
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
