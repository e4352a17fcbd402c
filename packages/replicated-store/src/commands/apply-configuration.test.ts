/** Guards against two contents under one generation, and against a lower generation replacing a higher one. */

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
const contentAt = (index: number): Hash => contents[index % contents.length] ?? contentHash('a');

const commandOf = (
  id: number,
  generation: Generation | undefined,
  hash: Hash,
): Extract<Command, { kind: 'applyConfiguration' }> => ({
  kind: 'applyConfiguration',
  caller: { to: toAddress('10.0.0.1:1'), id: toCommandId(`c${id}`) },
  hash,
  chunkHashes: [hash],
  baseGeneration: undefined,
  requestedGeneration: generation,
  issues: [],
});

/** Uploads configurations one after another, each with its own command id. */
class Uploads {
  control: ControlState = emptyControlState;
  #seq = noSeq;
  #id = 0;

  send(generation: number | undefined, hash: Hash): number {
    this.#id += 1;
    this.#seq = nextSeq(this.#seq);
    const requested = generation === undefined ? undefined : toGeneration(generation);
    const decision = decideApply(
      state,
      this.control,
      commandOf(this.#id, requested, hash),
      this.#seq,
    );
    this.control = applyPuts(this.control, decision.puts);
    assert.equal(
      decision.immediateReplies.length,
      0,
      'the reply waits for the write that it depends on',
    );
    return decision.repliesAfterWrite[0]?.status ?? 0;
  }
}

void test('the contents of the newest generations are recorded up to the limit', () => {
  const uploads = new Uploads();
  const newest = maxKeptGenerations + 200;
  for (let generation = 1; generation <= newest; generation += 1)
    assert.equal(uploads.send(generation, contentAt(generation)), 200);
  assert.equal(uploads.control.hashByGeneration.size, maxKeptGenerations);
  assert.ok(uploads.control.commandOutcomes.size <= maxKeptOutcomes);
  const oldestKept = newest - maxKeptGenerations + 1;
  assert.equal(Math.min(...uploads.control.hashByGeneration.keys()), oldestKept);
  assert.equal(uploads.send(oldestKept, contentAt(oldestKept + 1)), 409);
  assert.equal(uploads.send(oldestKept, contentAt(oldestKept)), 200);
  // The content of a generation below all recorded ones is unknown: an upload is acknowledged and not recorded.
  assert.equal(uploads.send(oldestKept - 1, contentAt(oldestKept)), 200);
  assert.equal(uploads.control.hashByGeneration.has(toGeneration(oldestKept - 1)), false);
  assert.equal(uploads.control.hashByGeneration.size, maxKeptGenerations);
  assert.equal(uploads.control.configuration?.offer.generation, newest);
});

void test('a generation that the store assigns itself is bound to one content too', () => {
  const uploads = new Uploads();
  assert.equal(uploads.send(undefined, contentAt(0)), 200);
  assert.equal(uploads.send(undefined, contentAt(1)), 200);
  assert.equal(uploads.send(1, contentAt(1)), 409);
  assert.equal(uploads.send(2, contentAt(0)), 409);
  assert.equal(uploads.send(1, contentAt(0)), 200);
});

void test('without a record, the current generation is bound to the content in force', () => {
  const uploads = new Uploads();
  uploads.send(5, contentAt(0));
  uploads.control = { ...uploads.control, hashByGeneration: new Map() };
  assert.equal(uploads.send(5, contentAt(1)), 409);
  assert.equal(uploads.send(5, contentAt(0)), 200);
});

void test('each generation is bound to one content and the highest is in force, in any order of arrival', () => {
  for (let seed = 1; seed <= 50; seed += 1) {
    const uploads = new Uploads();
    const confirmed = new Map<number, Hash>();
    let random = seed;
    for (let upload = 0; upload < 200; upload += 1) {
      random = (random * 48_271) % 2_147_483_647;
      const generation = 1 + (random % 40);
      const hash = contentAt(Math.floor(random / 64));
      const boundHash = confirmed.get(generation);
      const status = uploads.send(generation, hash);
      assert.equal(status, boundHash === undefined || boundHash === hash ? 200 : 409);
      if (status === 200) confirmed.set(generation, hash);
      const highest = Math.max(...confirmed.keys());
      const offer = uploads.control.configuration?.offer;
      assert.deepEqual([offer?.generation, offer?.hash], [highest, confirmed.get(highest)]);
    }
  }
});
