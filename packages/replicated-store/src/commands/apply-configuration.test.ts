import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  type Generation,
  type Hash,
  nextSeq,
  noSeq,
  toAddress,
  toCommandId,
  toGeneration,
} from '@switchwheel/types';
import {
  type ControlState,
  applyPuts,
  contentHash,
  emptyControlState,
  maxKeptGenerations,
  maxKeptOutcomes,
} from '@switchwheel/configuration';
import { decideApply } from './apply-configuration.js';
import type { Command } from './command.js';

const texts = ['a', 'b', 'c'];
const state = {
  heldChunks: new Map(texts.map((text) => [contentHash(text), text])),
  commandQueue: [],
};
const contents: readonly Hash[] = texts.map((text) => contentHash(text));
const contentAt = (at: number): Hash => contents[at % contents.length] ?? contentHash('a');

const commandOf = (
  id: number,
  number: Generation | undefined,
  hash: Hash,
): Extract<Command, { kind: 'applyConfiguration' }> => ({
  kind: 'applyConfiguration',
  caller: { to: toAddress('10.0.0.1:1'), id: toCommandId(`c${id}`) },
  hash,
  chunkHashes: [hash],
  baseGeneration: undefined,
  requestedGeneration: number,
  faults: [],
});

/** Orders of configurations, one after another, each under its own call id. */
class Orders {
  control: ControlState = emptyControlState;
  #seq = noSeq;
  #id = 0;

  send(number: number | undefined, hash: Hash): number {
    this.#id += 1;
    this.#seq = nextSeq(this.#seq);
    const asked = number === undefined ? undefined : toGeneration(number);
    const decision = decideApply(state, this.control, commandOf(this.#id, asked, hash), this.#seq);
    this.control = applyPuts(this.control, decision.puts);
    assert.equal(decision.immediateReplies.length, 0, 'answered once what it rests on lasts');
    return decision.repliesAfterWrite[0]?.status ?? 0;
  }
}

void test('the contents of the newest numbers are kept, and no more', () => {
  const orders = new Orders();
  const many = maxKeptGenerations + 200;
  for (let number = 1; number <= many; number += 1)
    assert.equal(orders.send(number, contentAt(number)), 200);
  assert.equal(orders.control.hashByGeneration.size, maxKeptGenerations);
  assert.ok(orders.control.commandOutcomes.size <= maxKeptOutcomes);
  const least = many - maxKeptGenerations + 1;
  assert.equal(Math.min(...orders.control.hashByGeneration.keys()), least);
  assert.equal(orders.send(least, contentAt(least + 1)), 409);
  assert.equal(orders.send(least, contentAt(least)), 200);
  // Below all that is kept the content is not known: acknowledged, and nothing is kept of it.
  assert.equal(orders.send(least - 1, contentAt(least)), 200);
  assert.equal(orders.control.hashByGeneration.has(toGeneration(least - 1)), false);
  assert.equal(orders.control.hashByGeneration.size, maxKeptGenerations);
  assert.equal(orders.control.configuration?.offer.generation, many);
});

void test('numbers that the store gives itself have one content too', () => {
  const orders = new Orders();
  assert.equal(orders.send(undefined, contentAt(0)), 200);
  assert.equal(orders.send(undefined, contentAt(1)), 200);
  assert.equal(orders.send(1, contentAt(1)), 409);
  assert.equal(orders.send(2, contentAt(0)), 409);
  assert.equal(orders.send(1, contentAt(0)), 200);
});

void test('the content in force counts although no record of its number was kept', () => {
  const orders = new Orders();
  orders.send(5, contentAt(0));
  orders.control = { ...orders.control, hashByGeneration: new Map() };
  assert.equal(orders.send(5, contentAt(1)), 409);
  assert.equal(orders.send(5, contentAt(0)), 200);
});

void test('whatever order numbers come in, each has one content and the highest is in force', () => {
  for (let seed = 1; seed <= 50; seed += 1) {
    const orders = new Orders();
    const confirmed = new Map<number, Hash>();
    let dice = seed;
    for (let turn = 0; turn < 200; turn += 1) {
      dice = (dice * 48_271) % 2_147_483_647;
      const number = 1 + (dice % 40);
      const hash = contentAt(Math.floor(dice / 64));
      const known = confirmed.get(number);
      const status = orders.send(number, hash);
      assert.equal(status, known === undefined || known === hash ? 200 : 409);
      if (status === 200) confirmed.set(number, hash);
      const top = Math.max(...confirmed.keys());
      const offer = orders.control.configuration?.offer;
      assert.deepEqual([offer?.generation, offer?.hash], [top, confirmed.get(top)]);
    }
  }
});
