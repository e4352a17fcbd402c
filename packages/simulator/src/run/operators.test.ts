/** Concurrent and repeated commands of operators that choose the generation numbers. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type Release, toCommandId, toGeneration, toRelease } from '@switchwheel/types';
import {
  type ChunkedConfiguration,
  splitIntoChunks,
  runToCompletion,
} from '@switchwheel/configuration';
import type { SimulatedRegistry, RegistryReply } from '../processes/registry.js';
import { createConfiguration } from '../world/configuration.js';
import { type Fixture, clips, finishRun, createFixture, seedRange } from './fixture.js';

const r2 = toRelease('r2');
const r3 = toRelease('r3');
const releaseSpanMs = 8000;
const replyTimeoutMs = 9000;

let commandCount = 0;
const nextCommandId = (): ReturnType<typeof toCommandId> => {
  commandCount += 1;
  return toCommandId(`operator-${commandCount}`);
};

const splitMarkedConfiguration = (run: Fixture, marker: number): ChunkedConfiguration => {
  const result = runToCompletion(splitIntoChunks(createConfiguration(run.world.layout, marker)));
  if (result.isErr) throw new Error(JSON.stringify(result.error));
  return result.value;
};
const hashOfMarker = (run: Fixture, marker: number): string =>
  splitMarkedConfiguration(run, marker).hash;

/** Sends a configuration under a generation number to a registry; the reply is set on the result once it arrives. */
const send = (
  run: Fixture,
  registry: SimulatedRegistry,
  generation: number,
  marker: number,
): { reply: RegistryReply | undefined } => {
  const response: { reply: RegistryReply | undefined } = { reply: undefined };
  const { hash, chunkHashes, chunks } = splitMarkedConfiguration(run, marker);
  registry.handleRequest(
    {
      verb: 'apply',
      id: nextCommandId(),
      baseGeneration: undefined,
      requestedGeneration: toGeneration(generation),
      hash,
      chunkHashes,
      chunks,
    },
    (reply) => {
      response.reply = reply;
    },
  );
  return response;
};

const registryAt = (run: Fixture, index: number): SimulatedRegistry => {
  const alive = run.world.registries.filter((registry) => registry.isAlive);
  const registry = alive[index % alive.length];
  if (registry === undefined) throw new Error('no registry is alive');
  return registry;
};

const isDefinite = (reply: RegistryReply | undefined): reply is RegistryReply =>
  reply !== undefined && reply.status < 500;

/** Sends a configuration under a generation number to registries in turn until a status is below 500. */
const submit = (
  run: Fixture,
  generation: number,
  marker: number,
  firstIndex = 0,
): RegistryReply => {
  for (let attempt = 0; attempt < 8; attempt += 1) {
    const response = send(run, registryAt(run, firstIndex + attempt), generation, marker);
    run.world.runUntil(replyTimeoutMs, () => response.reply !== undefined);
    if (isDefinite(response.reply)) return response.reply;
    run.world.runFor(500);
  }
  throw new Error('no definite reply in 8 attempts');
};

const requestRelease = (run: Fixture, target: Release, firstIndex = 0): RegistryReply => {
  for (let attempt = 0; attempt < 8; attempt += 1) {
    let pendingReply: RegistryReply | undefined;
    registryAt(run, firstIndex + attempt).handleRequest(
      { verb: 'release', id: nextCommandId(), service: clips, target, spanMs: releaseSpanMs },
      (reply) => {
        pendingReply = reply;
      },
    );
    run.world.runUntil(replyTimeoutMs, () => pendingReply !== undefined);
    if (isDefinite(pendingReply)) return pendingReply;
    run.world.runFor(500);
  }
  throw new Error('no definite reply in 8 attempts');
};

const storedConfiguration = (
  run: Fixture,
): { readonly generation: number; readonly hash: string } | undefined =>
  run.world.primary()?.state?.control.configuration?.offer;
const releaseRollout = (
  run: Fixture,
): { readonly order: number; readonly phase: string } | undefined =>
  run.world.primary()?.state?.control.releases.get(clips);

const restartAll = (run: Fixture): void => {
  for (const process of run.world.allProcesses) {
    process.kill();
    run.world.eventQueue.schedule(200, () => process.start());
  }
  run.world.runFor(12_000);
};

const failOver = (run: Fixture): void => {
  const formerPrimary = run.world.primary();
  formerPrimary?.kill();
  run.world.eventQueue.schedule(3000, () => formerPrimary?.start());
  const hasFailedOver = run.world.runUntil(8000, () => {
    const current = run.world.primary();
    return current !== undefined && current !== formerPrimary;
  });
  assert.ok(hasFailedOver, 'a backup takes over');
};

void test('of two operators that use one generation number, one is confirmed and the other rejected with both hashes', () => {
  for (const seed of seedRange(6)) {
    const run = createFixture(seed, 10);
    const responses = [11, 12].map((marker, index) => send(run, registryAt(run, index), 7, marker));
    run.world.runUntil(replyTimeoutMs, () =>
      responses.every((response) => response.reply !== undefined),
    );
    const statuses = responses.map((response) => response.reply?.status).sort();
    assert.deepEqual(statuses, [200, 409], JSON.stringify(responses));
    const refused = responses.find((response) => response.reply?.status === 409)?.reply?.body ?? '';
    assert.ok(refused.includes(hashOfMarker(run, 11)) && refused.includes(hashOfMarker(run, 12)));
    const acceptedMarker = responses[0]?.reply?.status === 200 ? 11 : 12;
    assert.deepEqual(
      [storedConfiguration(run)?.generation, storedConfiguration(run)?.hash],
      [7, hashOfMarker(run, acceptedMarker)],
    );
    // A repeated command has the same outcome at each registry.
    for (let index = 0; index < 3; index += 1) {
      assert.equal(submit(run, 7, acceptedMarker === 11 ? 12 : 11, index).status, 409);
      assert.equal(submit(run, 7, acceptedMarker, index).status, 200);
    }
    assert.deepEqual(finishRun(run), []);
  }
});

void test('a generation number keeps its configuration through newer generations, a failover and a full restart', () => {
  for (const seed of seedRange(3)) {
    const run = createFixture(seed, 10);
    assert.equal(submit(run, 5, 21).status, 200);
    assert.equal(submit(run, 9, 22).status, 200);
    const assertNumbersKept = (when: string): void => {
      assert.equal(
        submit(run, 5, 23).status,
        409,
        `other configuration under a used number ${when}`,
      );
      assert.equal(
        submit(run, 9, 23).status,
        409,
        `other configuration under the newest number ${when}`,
      );
      assert.equal(submit(run, 5, 21).status, 200, `the same configuration repeated ${when}`);
      assert.equal(submit(run, 9, 22).status, 200, `the newest configuration repeated ${when}`);
      assert.deepEqual(
        [storedConfiguration(run)?.generation, storedConfiguration(run)?.hash],
        [9, hashOfMarker(run, 22)],
      );
    };
    assertNumbersKept('at once');
    failOver(run);
    assertNumbersKept('after a failover');
    restartAll(run);
    assertNumbersKept('after a full restart');
    assert.deepEqual(finishRun(run), []);
  }
});

void test('an unused generation number below the newest is acknowledged, changes nothing and keeps its configuration from then on', () => {
  const run = createFixture(100, 10);
  assert.equal(submit(run, 9, 31).status, 200);
  assert.equal(submit(run, 4, 32).status, 200);
  assert.equal(submit(run, 4, 33).status, 409);
  restartAll(run);
  assert.equal(submit(run, 4, 33).status, 409);
  assert.equal(submit(run, 4, 32).status, 200);
  assert.deepEqual(
    [storedConfiguration(run)?.generation, storedConfiguration(run)?.hash],
    [9, hashOfMarker(run, 31)],
  );
  assert.deepEqual(finishRun(run), []);
});

void test('a lower generation number sent while a higher one is being written is acknowledged and changes nothing', () => {
  for (const seed of seedRange(6)) {
    const run = createFixture(seed, 10);
    const responses = [
      send(run, registryAt(run, 0), 20, 41),
      send(run, registryAt(run, 1), 15, 42),
      send(run, registryAt(run, 2), 20, 41),
    ];
    run.world.runUntil(replyTimeoutMs, () =>
      responses.every((response) => response.reply !== undefined),
    );
    assert.deepEqual(
      responses.map((response) => response.reply?.status),
      [200, 200, 200],
    );
    assert.deepEqual(
      [storedConfiguration(run)?.generation, storedConfiguration(run)?.hash],
      [20, hashOfMarker(run, 41)],
    );
    assert.deepEqual(finishRun(run), []);
  }
});

void test('a configuration whose reply is lost with the primary is acknowledged by every registry when it is repeated', () => {
  for (const seed of seedRange(6)) {
    const run = createFixture(seed, 10);
    const response = send(run, registryAt(run, 0), 7, 51);
    const primary = run.world.primary();
    // The primary dies with the write on its own disk only, or on both: a retry is acknowledged either way.
    run.world.runUntil(
      2000,
      () => primary?.writePhase === (seed % 2 === 0 ? 'writingToDisk' : 'replicating'),
    );
    failOver(run);
    run.world.runUntil(replyTimeoutMs, () => response.reply !== undefined);
    assert.ok(
      response.reply === undefined || response.reply.status !== 409,
      JSON.stringify(response.reply),
    );
    for (let index = 0; index < 3; index += 1) assert.equal(submit(run, 7, 51, index).status, 200);
    assert.equal(submit(run, 7, 52).status, 409);
    assert.deepEqual(
      [storedConfiguration(run)?.generation, storedConfiguration(run)?.hash],
      [7, hashOfMarker(run, 51)],
    );
    assert.deepEqual(finishRun(run), []);
  }
});

void test('a release request that was accepted is acknowledged when it is repeated after another one, and starts no second rollout', () => {
  for (const seed of seedRange(2)) {
    const run = createFixture(seed, 40);
    run.callers.start();
    run.world.addOrigin(clips, 8, 'r2');
    run.world.addOrigin(clips, 8, 'r3');
    run.world.runFor(1500);
    assert.equal(requestRelease(run, r2).status, 200);
    assert.ok(run.world.runUntil(12_000, () => releaseRollout(run)?.phase === 'good'));
    assert.equal(requestRelease(run, r3).status, 200);
    const secondRolloutNumber = releaseRollout(run)?.order;
    assert.equal(requestRelease(run, r2, 1).status, 200, 'the first repeated during the second');
    assert.equal(releaseRollout(run)?.order, secondRolloutNumber);
    assert.ok(run.world.runUntil(12_000, () => releaseRollout(run)?.phase === 'good'));
    assert.equal(requestRelease(run, r2, 2).status, 200, 'the first repeated after the second');
    assert.equal(releaseRollout(run)?.order, secondRolloutNumber);
    restartAll(run);
    assert.equal(requestRelease(run, r2).status, 200, 'the first repeated after a full restart');
    assert.equal(requestRelease(run, r3).status, 200, 'the second repeated after a full restart');
    assert.equal(releaseRollout(run)?.order, secondRolloutNumber);
    assert.deepEqual(finishRun(run), []);
  }
});

void test('a release request whose rollout ended as bad is acknowledged when it is repeated, and starts no second rollout', () => {
  for (const seed of seedRange(2)) {
    const run = createFixture(seed, 40);
    run.callers.start();
    run.world.runFor(1500);
    // No origin runs this release: the rollout ends as bad after its span.
    assert.equal(requestRelease(run, r2).status, 200);
    assert.ok(run.world.runUntil(12_000, () => releaseRollout(run)?.phase === 'bad'));
    const rolloutNumber = releaseRollout(run)?.order;
    run.world.runFor(2000);
    assert.equal(requestRelease(run, r2, 1).status, 200);
    assert.equal(releaseRollout(run)?.order, rolloutNumber);
    restartAll(run);
    assert.equal(requestRelease(run, r2, 2).status, 200);
    assert.equal(releaseRollout(run)?.order, rolloutNumber);
    assert.deepEqual(finishRun(run), []);
  }
});

void test('repeated leave announcements of an origin are acknowledged by every registry', () => {
  const run = createFixture(100, 10);
  const origin = run.world.origins[0];
  assert.ok(origin !== undefined);
  const { service, instance, address, release, slots } = origin;
  const announce = (state: 'leaving' | 'gone', index: number): number => {
    let status = 0;
    registryAt(run, index).handleRequest(
      { verb: 'announce', origin: { service, instance, address, release, slots, state } },
      (reply) => {
        status = reply.status;
      },
    );
    run.world.runUntil(2000, () => status !== 0);
    return status;
  };
  for (const state of ['leaving', 'leaving', 'gone', 'leaving', 'gone'] as const)
    for (let index = 0; index < 3; index += 1)
      assert.equal(announce(state, index), 200, `${state} at registry ${index}`);
  restartAll(run);
  for (const state of ['gone', 'leaving'] as const)
    for (let index = 0; index < 3; index += 1)
      assert.equal(
        announce(state, index),
        200,
        `${state} at registry ${index} after a full restart`,
      );
  assert.deepEqual(finishRun(run), []);
});
