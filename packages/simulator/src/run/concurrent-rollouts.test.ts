/** Guards against chunks of an accepted rollout request that are deleted before its configuration is activated. */

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

/** Maximum time from the acknowledgement of a configuration until every node runs it. */
const inForceLimitMs = 1500;
/** Delays between the two requests, so that the second arrives at each stage of the first. */
const offsetsMs = [0, 1, 2, 3, 4, 6, 8, 10, 12, 15, 18, 22, 26, 30];
const firstMarker = 10;
const secondMarker = 11;
const racingMarker = 12;

const splitMarkedConfiguration = (run: Fixture, marker: number): ChunkedConfiguration => {
  const result = runToCompletion(splitIntoChunks(createConfiguration(run.world.layout, marker)));
  if (result.isErr) throw new Error(JSON.stringify(result.error));
  return result.value;
};

/** A rollout request and its reply, once there is one. */
interface RolloutRequest {
  readonly generation: Generation;
  reply: RegistryReply | undefined;
}

const sendRequest = (
  run: Fixture,
  registry: SimulatedRegistry,
  generation: number,
  marker: number,
): RolloutRequest => {
  const request: RolloutRequest = { generation: toGeneration(generation), reply: undefined };
  const id = toCommandId(`order-${generation}`);
  const { hash, chunkHashes, chunks } = splitMarkedConfiguration(run, marker);
  registry.handleRequest(
    {
      verb: 'apply',
      id,
      baseGeneration: undefined,
      requestedGeneration: request.generation,
      hash,
      chunkHashes,
      chunks,
    },
    (reply) => {
      request.reply = reply;
    },
  );
  return request;
};

const registryAt = (run: Fixture, index: number): SimulatedRegistry => {
  const registry = run.world.registries[index % run.world.registries.length];
  if (registry === undefined) throw new Error('the fleet has no registry');
  return registry;
};

const apply = (run: Fixture, generation: number, marker: number): void => {
  const request = sendRequest(run, registryAt(run, 0), generation, marker);
  run.world.runUntil(5000, () => request.reply !== undefined);
  assert.equal(
    request.reply?.status,
    200,
    `status of the rollout request for generation ${generation}`,
  );
};

/** Whether every proxy runs the given generation. */
const isInForce = (run: Fixture, generation: number): boolean =>
  run.world.proxies.every(
    (proxy) => proxy.state?.nodeAgent.compiledConfiguration?.generation === generation,
  );

const missingChunkCount = (run: Fixture): number => {
  const control = run.world.primary()?.state?.control;
  assert.ok(control?.configuration !== undefined);
  return control.configuration.offer.pieces.filter((hash) => !control.chunks.has(hash)).length;
};

for (const offsetMs of offsetsMs) {
  void test(`a request that reverts to an earlier configuration ${offsetMs} ms after one that replaces it takes effect in time`, () => {
    const run = createFixture(700 + offsetMs, 2, {
      edges: 3,
      shields: 2,
      stores: 3,
      replication: { copies: 3, tolerate: 1, electorateFollowsRegistries: false },
    });
    apply(run, 2, firstMarker);
    assert.ok(run.world.runUntil(inForceLimitMs, () => isInForce(run, 2)));
    apply(run, 3, secondMarker);
    assert.ok(run.world.runUntil(inForceLimitMs, () => isInForce(run, 3)));
    const replacingRequest = sendRequest(run, registryAt(run, 0), 4, racingMarker);
    run.world.runFor(offsetMs);
    const revertingRequest = sendRequest(run, registryAt(run, 1), 5, firstMarker);
    run.world.runUntil(
      5000,
      () => replacingRequest.reply !== undefined && revertingRequest.reply !== undefined,
    );
    assert.equal(revertingRequest.reply?.status, 200);
    assert.equal(replacingRequest.reply?.status, 200);
    assert.equal(
      missingChunkCount(run),
      0,
      'the store holds every chunk of the active configuration',
    );
    assert.ok(
      run.world.runUntil(inForceLimitMs, () => isInForce(run, 5)),
      'every node runs the configuration in time',
    );
    assert.deepEqual(finishRun(run), []);
  });
}
