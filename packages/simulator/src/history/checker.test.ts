/** The checker on histories made by hand, right and wrong ones. */

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

/** A write to which the control side gives the number. */
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
  kind: 'release',
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
  void test(`the checker finds ${name}`, () => {
    const { violations } = checkHistory(operations);
    assert.equal(violations.length, 1, JSON.stringify(violations));
    assert.ok(violations[0]?.includes(text), violations[0]);
  });
};

const testAccepted = (name: string, operations: readonly Operation[]): void => {
  void test(`the checker lets pass ${name}`, () => {
    assert.deepEqual(checkHistory(operations).violations, []);
  });
};

testViolation('two contents confirmed under one number', 'one number, two contents', [
  write(5, 'a', 0, 10),
  write(5, 'b', 0, 12),
]);
testViolation(
  'two contents confirmed under one number that lies below the newest',
  'two contents',
  [write(9, 'c', 0, 1), write(5, 'a', 2, 3), write(5, 'b', 4, 5)],
);
testViolation('another content read than was confirmed', 'one number, two contents', [
  write(5, 'a', 0, 10),
  write(5, 'b', 0, undefined),
  read(5, 'b', 11, 12),
]);
testViolation('an acknowledged number that is lost', '5 was acknowledged, and 4 was read', [
  write(4, 'a', 0, 1),
  write(5, 'b', 2, 3),
  read(4, 'a', 4, 5),
]);
testViolation(
  'an acknowledged first number that is lost whole',
  '4 was acknowledged, and 0 was read',
  [write(4, 'a', 0, 1), read(0, '', 2, 3)],
);
testViolation('a read that goes back behind another read', '5 was read, and 4 was read later', [
  write(4, 'a', 0, 1),
  write(5, 'b', 2, undefined),
  read(5, 'b', 3, 4),
  read(4, 'a', 5, 6),
]);
testViolation('an acknowledged order that is refused when sent again', 'sent again, and refused', [
  write(5, 'a', 0, 1),
  write(5, 'b', 0, 2, 'refused'),
  write(5, 'a', 3, 4, 'refused'),
]);
testViolation('a refusal although no other content has the number', 'no other has its number', [
  write(5, 'a', 0, 1, 'refused'),
  write(5, 'b', 2, 3),
]);
testViolation('a read of what was refused', 'was refused to all who sent it', [
  write(5, 'a', 0, 4, 'refused'),
  write(5, 'b', 0, undefined),
  read(5, 'a', 5, 6),
]);
testViolation('a read of what nobody had sent yet', 'nobody had sent it', [
  read(5, 'a', 0, 1),
  write(5, 'a', 2, 3),
]);
testViolation('a release order that was begun twice', 'was begun twice, as 1 and 3', [
  rollout('r2', 1, 0),
  rollout('r3', 2, 2),
  rollout('r2', 3, 4),
]);
testViolation(
  'a release order that was refused after it was acknowledged',
  'sent again, and refused',
  [rollout('r2', 1, 0), rollout('r2', undefined, 2, 'refused')],
);
testViolation('purges that go back', 'purge 4 was acknowledged after purge 4 had been', [
  purge(4, 0),
  purge(4, 2),
]);

testViolation('a number that is given twice', '5 (b) was given, and 5 was known before', [
  write(4, 'a', 0, 1),
  read(5, 'b', 2, 3),
  unnumberedWrite(undefined, 'b', 0, undefined),
  unnumberedWrite(5, 'b', 4, 5),
]);

testAccepted(
  'an unknown write without a number that is read, and one that is refused for its base',
  [
    write(4, 'a', 0, 1),
    unnumberedWrite(undefined, 'b', 2, undefined),
    unnumberedWrite(undefined, 'c', 2, 3, 'refused'),
    read(5, 'b', 4, 5),
  ],
);
testAccepted('an unknown write that takes effect late', [
  write(4, 'a', 0, 1),
  write(5, 'b', 2, undefined),
  read(4, 'a', 3, 4),
  read(5, 'b', 5, 6),
]);
testAccepted('an unknown write that never takes effect', [
  write(4, 'a', 0, 1),
  write(5, 'b', 2, undefined),
  read(4, 'a', 3, 4),
  read(4, 'a', 5, 6),
]);
testAccepted('reads at the same time that differ, beside a write', [
  write(4, 'a', 0, 1),
  write(5, 'b', 2, 9),
  read(5, 'b', 3, 6),
  read(4, 'a', 5, 8),
]);
testAccepted('a race of which one is refused, and resends of both', [
  write(5, 'a', 0, 4),
  write(5, 'b', 1, 5, 'refused'),
  write(5, 'a', 6, 7),
  write(5, 'b', 6, 7, 'refused'),
  read(5, 'a', 8, 9),
]);
testAccepted('a race of which one is refused and the other never had an answer', [
  write(5, 'a', 0, undefined),
  write(5, 'b', 1, 5, 'refused'),
  read(5, 'a', 6, 7),
]);
testAccepted('a lower number that is acknowledged and alters nothing', [
  write(5, 'a', 0, 1),
  write(3, 'b', 2, 3),
  read(5, 'a', 4, 5),
]);

void test('the counts tell what a history put to the test', () => {
  const { counts } = checkHistory([
    write(5, 'a', 0, 4),
    write(5, 'b', 1, 5, 'refused'),
    write(5, 'a', 6, 7),
    write(3, 'c', 8, undefined),
    read(5, 'a', 8, 9),
  ]);
  assert.deepEqual(Object.fromEntries(counts), {
    'a configuration was acknowledged': 2,
    'a configuration was refused': 1,
    'a configuration got no clear answer': 1,
    'an acknowledged configuration was sent again': 1,
    'a number below an acknowledged one was sent': 1,
    'two contents were sent under one number at once': 1,
    'a read began after an acknowledgement': 1,
    'a read ran beside a write': 1,
  });
});

void test('an operation ends once, at the time of its first answer', () => {
  let now = 1;
  const history = new History(() => now);
  const operation = history.begin(write(5, 'a', 1, undefined));
  now = 3;
  operation.end({ outcome: 'acknowledged' });
  now = 4;
  operation.end({ outcome: 'refused' });
  assert.deepEqual(history.operations, [write(5, 'a', 1, 3)]);
});
