/** Which configurations are taken, by their numbers and contents. */

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
  issues: [],
});

/** Configurations that operators upload one after another, each under its own command id. */
class Uploads {
  control: ControlState = emptyControlState;
  #seq = noSeq;
  #id = 0;

  send(number: number | undefined, hash: Hash): number {
    this.#id += 1;
    this.#seq = nextSeq(this.#seq);
    const asked = number === undefined ? undefined : toGeneration(number);
    const decision = decideApply(state, this.control, commandOf(this.#id, asked, hash), this.#seq);
    this.control = applyPuts(this.control, decision.puts);
    assert.equal(
      decision.immediateReplies.length,
      0,
      'the reply waits for the write that it rests on',
    );
    return decision.repliesAfterWrite[0]?.status ?? 0;
  }
}

void test('keeps the contents of the newest numbers and no more', () => {
  const uploads = new Uploads();
  const many = maxKeptGenerations + 200;
  for (let number = 1; number <= many; number += 1)
    assert.equal(uploads.send(number, contentAt(number)), 200);
  assert.equal(uploads.control.hashByGeneration.size, maxKeptGenerations);
  assert.ok(uploads.control.commandOutcomes.size <= maxKeptOutcomes);
  const least = many - maxKeptGenerations + 1;
  assert.equal(Math.min(...uploads.control.hashByGeneration.keys()), least);
  assert.equal(uploads.send(least, contentAt(least + 1)), 409);
  assert.equal(uploads.send(least, contentAt(least)), 200);
  // Below all that is kept the content is not known: acknowledged, and nothing is kept of it.
  assert.equal(uploads.send(least - 1, contentAt(least)), 200);
  assert.equal(uploads.control.hashByGeneration.has(toGeneration(least - 1)), false);
  assert.equal(uploads.control.hashByGeneration.size, maxKeptGenerations);
  assert.equal(uploads.control.configuration?.offer.generation, many);
});

void test('binds numbers that the store gives itself to one content too', () => {
  const uploads = new Uploads();
  assert.equal(uploads.send(undefined, contentAt(0)), 200);
  assert.equal(uploads.send(undefined, contentAt(1)), 200);
  assert.equal(uploads.send(1, contentAt(1)), 409);
  assert.equal(uploads.send(2, contentAt(0)), 409);
  assert.equal(uploads.send(1, contentAt(0)), 200);
});

void test('takes the content in force for that of its number when no record of the number was kept', () => {
  const uploads = new Uploads();
  uploads.send(5, contentAt(0));
  uploads.control = { ...uploads.control, hashByGeneration: new Map() };
  assert.equal(uploads.send(5, contentAt(1)), 409);
  assert.equal(uploads.send(5, contentAt(0)), 200);
});

void test('binds each number to one content and puts the highest in force, in whatever order they come', () => {
  for (let seed = 1; seed <= 50; seed += 1) {
    const uploads = new Uploads();
    const confirmed = new Map<number, Hash>();
    let random = seed;
    for (let turn = 0; turn < 200; turn += 1) {
      random = (random * 48_271) % 2_147_483_647;
      const number = 1 + (random % 40);
      const hash = contentAt(Math.floor(random / 64));
      const known = confirmed.get(number);
      const status = uploads.send(number, hash);
      assert.equal(status, known === undefined || known === hash ? 200 : 409);
      if (status === 200) confirmed.set(number, hash);
      const top = Math.max(...confirmed.keys());
      const offer = uploads.control.configuration?.offer;
      assert.deepEqual([offer?.generation, offer?.hash], [top, confirmed.get(top)]);
    }
  }
});
