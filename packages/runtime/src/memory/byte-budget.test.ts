/** Guards against bodies that take a process over its memory, and against bodies that wait for each other for ever. */

import assert from 'node:assert/strict';
import { setMaxListeners } from 'node:events';
import { test } from 'node:test';
import fc from 'fast-check';
import { ByteBudget, type ByteLease, smallBodyBytes } from './byte-budget.js';

const never = new AbortController().signal;
setMaxListeners(0, never);
const unit = smallBodyBytes;
const limits = { bodyBytes: 100 * unit, smallBodyBytes: 2 * unit };

/** Lets the promises that are settled run their handlers. */
const settle = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

void test('a body waits until others have returned their bytes, and is granted them in order of arrival', async () => {
  const budget = new ByteBudget(limits);
  const [first, second, third] = [
    budget.lease(60 * unit),
    budget.lease(60 * unit),
    budget.lease(30 * unit),
  ];
  const granted: string[] = [];
  const extend = (name: string, lease: ByteLease): void => {
    void lease.extendTo(lease.maxBytes, never).then((isGranted) => {
      if (isGranted) granted.push(name);
    });
  };
  extend('first', first);
  extend('second', second);
  extend('third', third);
  await settle();
  assert.deepEqual(granted, ['first'], 'a later body does not overtake one that waits');
  first.release();
  await settle();
  assert.deepEqual(granted, ['first', 'second', 'third']);
  assert.equal(budget.heldBytes, 90 * unit);
});

void test('small bodies are admitted while large ones wait', () => {
  const budget = new ByteBudget(limits);
  assert.ok(budget.lease(100 * unit).tryExtendTo(100 * unit));
  assert.ok(!budget.lease(2 * unit).tryExtendTo(2 * unit));
  assert.ok(budget.lease(unit).tryExtendTo(unit));
});

void test('a body that is larger than the budget is admitted alone', () => {
  const budget = new ByteBudget(limits);
  const other = budget.lease(2 * unit);
  assert.ok(other.tryExtendTo(2 * unit));
  const large = budget.lease(300 * unit);
  assert.ok(!large.tryExtendTo(300 * unit));
  other.release();
  assert.ok(large.tryExtendTo(300 * unit));
  assert.ok(!other.tryExtendTo(2 * unit));
});

void test('a wait ends without bytes when it is aborted, and those behind it go on', async () => {
  const budget = new ByteBudget(limits);
  assert.ok(budget.lease(60 * unit).tryExtendTo(60 * unit));
  const wait = new AbortController();
  const large = budget.lease(60 * unit).extendTo(60 * unit, wait.signal);
  const fitting = budget.lease(30 * unit).extendTo(30 * unit, never);
  wait.abort();
  assert.deepEqual(await Promise.all([large, fitting]), [false, true]);
});

/** Takes the bytes of one body in steps, each four times the one before, and returns them when it is complete. */
const growTo = async (lease: ByteLease, stepBytes: number): Promise<void> => {
  for (let bytes = stepBytes; ; bytes = Math.min(lease.maxBytes, bytes * 4)) {
    assert.ok(await lease.extendTo(bytes, never));
    await settle();
    if (bytes === lease.maxBytes) break;
  }
  lease.release();
};

void test('bodies of any sizes, known or not, stay within the budget and all complete', async () => {
  const body = fc.record({
    maxUnits: fc.integer({ min: 2, max: 100 }),
    isSizeKnown: fc.boolean(),
  });
  await fc.assert(
    fc.asyncProperty(fc.array(body, { maxLength: 20 }), async (bodies) => {
      const budget = new ByteBudget(limits);
      let isOver = false;
      const watch = setInterval(() => {
        isOver ||= budget.heldBytes > budget.limitBytes;
      });
      await Promise.all(
        bodies.map(({ maxUnits, isSizeKnown }) =>
          growTo(budget.lease(maxUnits * unit), isSizeKnown ? maxUnits * unit : unit),
        ),
      );
      clearInterval(watch);
      assert.ok(!isOver);
      assert.equal(budget.heldBytes, 0);
      assert.equal(budget.waitingBodies, 0);
    }),
    { seed: 5, numRuns: 200 },
  );
});
