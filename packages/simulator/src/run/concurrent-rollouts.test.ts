/**
 * Orders that race, and a later one that returns to a content from before: whatever an order was found to have when it
 * came in, it still has when it is put in force. Otherwise the configuration in force lacks a chunk, and no node can run it.
 */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type Generation, toCommandId, toGeneration } from '@switchwheel/types';
import {
  type ChunkedConfiguration,
  splitIntoChunks,
  runToCompletion,
} from '@switchwheel/configuration';
import type { SimulatedRegistry, RegistryReply } from '../processes/registry.js';
import { createConfiguration } from '../world/configuration.js';
import { type Fixture, finishRun, createFixture } from './fixture.js';

/** How long a confirmed configuration may take to be in force on every node. */
const inForceLimit = 1500;
/** Orders of a pair leave this far apart, in milliseconds: the second comes in at each stage of the first. */
const offsets = [0, 1, 2, 3, 4, 6, 8, 10, 12, 15, 18, 22, 26, 30];
const firstMark = 10;
const secondMark = 11;
const racingMark = 12;

const bundleOf = (run: Fixture, mark: number): ChunkedConfiguration => {
  const bundle = runToCompletion(splitIntoChunks(createConfiguration(run.world.layout, mark)));
  if (bundle.isErr) throw new Error(JSON.stringify(bundle.error));
  return bundle.value;
};

/** A rollout request under way, and its reply. */
interface Order {
  readonly number: Generation;
  told: RegistryReply | undefined;
}

const send = (run: Fixture, registry: SimulatedRegistry, number: number, mark: number): Order => {
  const order: Order = { number: toGeneration(number), told: undefined };
  const id = toCommandId(`order-${number}`);
  const { hash, chunkHashes: pieces, chunks: texts } = bundleOf(run, mark);
  registry.handleRequest(
    {
      verb: 'apply',
      id,
      baseGeneration: undefined,
      requestedGeneration: order.number,
      hash,
      chunkHashes: pieces,
      chunks: texts,
    },
    (told) => {
      order.told = told;
    },
  );
  return order;
};

const registryAt = (run: Fixture, at: number): SimulatedRegistry => {
  const found = run.world.registries[at % run.world.registries.length];
  if (found === undefined) throw new Error('no registry');
  return found;
};

const apply = (run: Fixture, number: number, mark: number): void => {
  const order = send(run, registryAt(run, 0), number, mark);
  run.world.runUntil(5000, () => order.told !== undefined);
  assert.equal(order.told?.status, 200, `order ${number}`);
};

/** Whether every proxy runs a generation. */
const isInForce = (run: Fixture, number: number): boolean =>
  run.world.proxies.every(
    (one) => one.state?.nodeAgent.compiledConfiguration?.generation === number,
  );

const missingPieces = (run: Fixture): number => {
  const control = run.world.primary()?.state?.control;
  assert.ok(control?.configuration !== undefined);
  return control.configuration.offer.pieces.filter((one) => !control.chunks.has(one)).length;
};

for (const offset of offsets) {
  void test(`an order that returns to an earlier content, ${offset} ms after one that drops it, is in force in time`, () => {
    const run = createFixture(700 + offset, 2, {
      edges: 3,
      shields: 2,
      stores: 3,
      replication: { copies: 3, tolerate: 1, electorateFollowsRegistries: false },
    });
    apply(run, 2, firstMark);
    assert.ok(run.world.runUntil(inForceLimit, () => isInForce(run, 2)));
    apply(run, 3, secondMark);
    assert.ok(run.world.runUntil(inForceLimit, () => isInForce(run, 3)));
    const dropping = send(run, registryAt(run, 0), 4, racingMark);
    run.world.runFor(offset);
    const returning = send(run, registryAt(run, 1), 5, firstMark);
    run.world.runUntil(5000, () => dropping.told !== undefined && returning.told !== undefined);
    assert.equal(returning.told?.status, 200);
    assert.equal(dropping.told?.status, 200);
    assert.equal(missingPieces(run), 0, 'the table holds each piece of the description in force');
    assert.ok(
      run.world.runUntil(inForceLimit, () => isInForce(run, 5)),
      'in force in time',
    );
    assert.deepEqual(finishRun(run), []);
  });
}
