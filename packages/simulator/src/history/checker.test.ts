/** The checker misses a violation, or reports one in a valid history. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { checkHistory } from './checker.js';
import {
  type ConfigurationRead,
  type ConfigurationWrite,
  type Outcome,
  History,
  type Operation,
  type PurgeWrite,
  type RolloutRequest,
} from './history.js';

const write = (
  number: number | undefined,
  hash: string,
  startedAt: number,
  endedAt: number | undefined,
  outcome: Outcome = endedAt === undefined ? 'unknown' : 'acknowledged',
): ConfigurationWrite => ({
  kind: 'write',
  isNumbered: true,
  version: { number, hash },
  startedAt,
  endedAt,
  outcome,
});

/** A write whose number the control plane assigns. */
const unnumberedWrite = (...args: Parameters<typeof write>): ConfigurationWrite => ({
  ...write(...args),
  isNumbered: false,
});

const read = (
  number: number,
  hash: string,
  startedAt: number,
  endedAt: number,
): ConfigurationRead => ({
  kind: 'read',
  version: number === 0 ? undefined : { number, hash },
  startedAt,
  endedAt,
  outcome: 'acknowledged',
});

const rollout = (
  key: string,
  rolloutNumber: number | undefined,
  startedAt: number,
  outcome: Outcome = 'acknowledged',
): RolloutRequest => ({
  kind: 'rollout',
  key,
  rolloutNumber,
  startedAt,
  endedAt: startedAt + 1,
  outcome,
});

const purge = (number: number, startedAt: number): PurgeWrite => ({
  kind: 'purge',
  number,
  startedAt,
  endedAt: startedAt + 1,
  outcome: 'acknowledged',
});

const testViolation = (name: string, text: string, operations: readonly Operation[]): void => {
  void test(`the checker reports ${name}`, () => {
    const { violations } = checkHistory(operations);
    assert.equal(violations.length, 1, JSON.stringify(violations));
    assert.ok(violations[0]?.includes(text), violations[0]);
  });
};

const testAccepted = (name: string, operations: readonly Operation[]): void => {
  void test(`the checker accepts ${name}`, () => {
    assert.deepEqual(checkHistory(operations).violations, []);
  });
};

testViolation('two contents acknowledged under one number', 'one number, two contents', [
  write(5, 'a', 0, 10),
  write(5, 'b', 0, 12),
]);
testViolation('two contents acknowledged under one number below the newest', 'two contents', [
  write(9, 'c', 0, 1),
  write(5, 'a', 2, 3),
  write(5, 'b', 4, 5),
]);
testViolation('a read of a content other than the acknowledged one', 'one number, two contents', [
  write(5, 'a', 0, 10),
  write(5, 'b', 0, undefined),
  read(5, 'b', 11, 12),
]);
testViolation('the loss of an acknowledged number', '5 was acknowledged, but 4 was read', [
  write(4, 'a', 0, 1),
  write(5, 'b', 2, 3),
  read(4, 'a', 4, 5),
]);
testViolation('the loss of the first acknowledged number', '4 was acknowledged, but 0 was read', [
  write(4, 'a', 0, 1),
  read(0, '', 2, 3),
]);
testViolation('a read of a lower number than an earlier read', '5 was read, but 4 was read later', [
  write(4, 'a', 0, 1),
  write(5, 'b', 2, undefined),
  read(5, 'b', 3, 4),
  read(4, 'a', 5, 6),
]);
testViolation(
  'the rejection of a repeated write that was acknowledged',
  'acknowledged, then rejected when sent again',
  [write(5, 'a', 0, 1), write(5, 'b', 0, 2, 'rejected'), write(5, 'a', 3, 4, 'rejected')],
);
testViolation(
  'a rejection although no other content has the number',
  'no other content has its number',
  [write(5, 'a', 0, 1, 'rejected'), write(5, 'b', 2, 3)],
);
testViolation('a read of a rejected content', 'every write of it was rejected', [
  write(5, 'a', 0, 4, 'rejected'),
  write(5, 'b', 0, undefined),
  read(5, 'a', 5, 6),
]);
testViolation('a read of a content that had not been sent yet', 'before any write had sent it', [
  read(5, 'a', 0, 1),
  write(5, 'a', 2, 3),
]);
testViolation('a rollout request that was started twice', 'was started twice, as 1 and 3', [
  rollout('r2', 1, 0),
  rollout('r3', 2, 2),
  rollout('r2', 3, 4),
]);
testViolation(
  'the rejection of a repeated rollout request',
  'acknowledged, then rejected when sent again',
  [rollout('r2', 1, 0), rollout('r2', undefined, 2, 'rejected')],
);
testViolation('purges whose numbers do not increase', 'purge 4 was acknowledged after purge 4', [
  purge(4, 0),
  purge(4, 2),
]);

testViolation(
  'a number that is assigned twice',
  '5 (b) was assigned after 5 was acknowledged or read',
  [
    write(4, 'a', 0, 1),
    read(5, 'b', 2, 3),
    unnumberedWrite(undefined, 'b', 0, undefined),
    unnumberedWrite(5, 'b', 4, 5),
  ],
);

testAccepted(
  'a write without a number and with an unknown outcome that is read, beside a rejected one',
  [
    write(4, 'a', 0, 1),
    unnumberedWrite(undefined, 'b', 2, undefined),
    unnumberedWrite(undefined, 'c', 2, 3, 'rejected'),
    read(5, 'b', 4, 5),
  ],
);
testAccepted('a write with an unknown outcome that takes effect late', [
  write(4, 'a', 0, 1),
  write(5, 'b', 2, undefined),
  read(4, 'a', 3, 4),
  read(5, 'b', 5, 6),
]);
testAccepted('a write with an unknown outcome that never takes effect', [
  write(4, 'a', 0, 1),
  write(5, 'b', 2, undefined),
  read(4, 'a', 3, 4),
  read(4, 'a', 5, 6),
]);
testAccepted('concurrent reads that differ during a write', [
  write(4, 'a', 0, 1),
  write(5, 'b', 2, 9),
  read(5, 'b', 3, 6),
  read(4, 'a', 5, 8),
]);
testAccepted('two concurrent writes of which one is rejected, and repetitions of both', [
  write(5, 'a', 0, 4),
  write(5, 'b', 1, 5, 'rejected'),
  write(5, 'a', 6, 7),
  write(5, 'b', 6, 7, 'rejected'),
  read(5, 'a', 8, 9),
]);
testAccepted('two concurrent writes of which one is rejected and the other gets no reply', [
  write(5, 'a', 0, undefined),
  write(5, 'b', 1, 5, 'rejected'),
  read(5, 'a', 6, 7),
]);
testAccepted('a lower number that is acknowledged without effect', [
  write(5, 'a', 0, 1),
  write(3, 'b', 2, 3),
  read(5, 'a', 4, 5),
]);

void test('the counts show which coverage goals a history met', () => {
  const { counts } = checkHistory([
    write(5, 'a', 0, 4),
    write(5, 'b', 1, 5, 'rejected'),
    write(5, 'a', 6, 7),
    write(3, 'c', 8, undefined),
    read(5, 'a', 8, 9),
  ]);
  assert.deepEqual(Object.fromEntries(counts), {
    'a configuration was acknowledged': 2,
    'a configuration was rejected': 1,
    'a configuration ended with an unknown outcome': 1,
    'an acknowledged configuration was sent again': 1,
    'a number below an acknowledged one was sent': 1,
    'two contents were sent concurrently under one number': 1,
    'a read began after an acknowledgement': 1,
    'a read ran concurrently with a write': 1,
  });
});

void test('an operation ends once, at the time of its first reply', () => {
  let now = 1;
  const history = new History(() => now);
  const operation = history.begin(write(5, 'a', 1, undefined));
  now = 3;
  operation.end({ outcome: 'acknowledged' });
  now = 4;
  operation.end({ outcome: 'rejected' });
  assert.deepEqual(history.operations, [write(5, 'a', 1, 3)]);
});
