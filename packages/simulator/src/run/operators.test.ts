/** Operators that number their configurations, repeat their commands and race. */

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
const releaseSpan = 8000;
const answerSpan = 9000;

let callCount = 0;
const freshCall = (): ReturnType<typeof toCommandId> => {
  callCount += 1;
  return toCommandId(`operator-${callCount}`);
};

const bundleOf = (run: Fixture, mark: number): ChunkedConfiguration => {
  const bundle = runToCompletion(splitIntoChunks(createConfiguration(run.world.layout, mark)));
  if (bundle.isErr) throw new Error(JSON.stringify(bundle.error));
  return bundle.value;
};
const hashOfMark = (run: Fixture, mark: number): string => bundleOf(run, mark).hash;

/** Sends a numbered configuration through one registry; the answer comes into the box. */
const send = (
  run: Fixture,
  registry: SimulatedRegistry,
  number: number,
  mark: number,
): { answer: RegistryReply | undefined } => {
  const box: { answer: RegistryReply | undefined } = { answer: undefined };
  const { hash, chunkHashes, chunks } = bundleOf(run, mark);
  registry.handleRequest(
    {
      verb: 'apply',
      id: freshCall(),
      baseGeneration: undefined,
      requestedGeneration: toGeneration(number),
      hash,
      chunkHashes,
      chunks,
    },
    (told) => {
      box.answer = told;
    },
  );
  return box;
};

const registryAt = (run: Fixture, at: number): SimulatedRegistry => {
  const alive = run.world.registries.filter((one) => one.isAlive);
  const found = alive[at % alive.length];
  if (found === undefined) throw new Error('no registry lives');
  return found;
};

const isClear = (told: RegistryReply | undefined): told is RegistryReply =>
  told !== undefined && told.status < 500;

/** Sends a numbered configuration again and again, each time to another registry, until it has a clear answer. */
const submit = (run: Fixture, number: number, mark: number, first = 0): RegistryReply => {
  for (let turn = 0; turn < 8; turn += 1) {
    const box = send(run, registryAt(run, first + turn), number, mark);
    run.world.runUntil(answerSpan, () => box.answer !== undefined);
    if (isClear(box.answer)) return box.answer;
    run.world.runFor(500);
  }
  throw new Error('no clear answer');
};

const orderRelease = (run: Fixture, target: Release, first = 0): RegistryReply => {
  for (let turn = 0; turn < 8; turn += 1) {
    let answer: RegistryReply | undefined;
    registryAt(run, first + turn).handleRequest(
      { verb: 'release', id: freshCall(), service: clips, target, spanMs: releaseSpan },
      (told) => {
        answer = told;
      },
    );
    run.world.runUntil(answerSpan, () => answer !== undefined);
    if (isClear(answer)) return answer;
    run.world.runFor(500);
  }
  throw new Error('no clear answer');
};

const stored = (run: Fixture): { readonly generation: number; readonly hash: string } | undefined =>
  run.world.primary()?.state?.control.configuration?.offer;
const releaseRecord = (
  run: Fixture,
): { readonly order: number; readonly phase: string } | undefined =>
  run.world.primary()?.state?.control.releases.get(clips);

const killAll = (run: Fixture): void => {
  for (const actor of run.world.allProcesses) {
    actor.kill();
    run.world.eventQueue.schedule(200, () => actor.start());
  }
  run.world.runFor(12_000);
};

const takeOver = (run: Fixture): void => {
  const lost = run.world.primary();
  lost?.kill();
  run.world.eventQueue.schedule(3000, () => lost?.start());
  const moved = run.world.runUntil(8000, () => {
    const now = run.world.primary();
    return now !== undefined && now !== lost;
  });
  assert.ok(moved, 'a backup takes over');
};

void test('two operators race under one number: one is confirmed, the other refused with both hashes named', () => {
  for (const seed of seedRange(6)) {
    const run = createFixture(seed, 10);
    const boxes = [11, 12].map((mark, at) => send(run, registryAt(run, at), 7, mark));
    run.world.runUntil(answerSpan, () => boxes.every((one) => one.answer !== undefined));
    const statuses = boxes.map((one) => one.answer?.status).sort();
    assert.deepEqual(statuses, [200, 409], JSON.stringify(boxes));
    const refused = boxes.find((one) => one.answer?.status === 409)?.answer?.body ?? '';
    assert.ok(refused.includes(hashOfMark(run, 11)) && refused.includes(hashOfMark(run, 12)));
    const won = boxes[0]?.answer?.status === 200 ? 11 : 12;
    assert.deepEqual([stored(run)?.generation, stored(run)?.hash], [7, hashOfMark(run, won)]);
    // The loser sends again, to each registry: never confirmed; the winner always is.
    for (let at = 0; at < 3; at += 1) {
      assert.equal(submit(run, 7, won === 11 ? 12 : 11, at).status, 409);
      assert.equal(submit(run, 7, won, at).status, 200);
    }
    assert.deepEqual(finishRun(run), []);
  }
});

void test('a number keeps its content through newer numbers, a takeover and a full loss', () => {
  for (const seed of seedRange(3)) {
    const run = createFixture(seed, 10);
    assert.equal(submit(run, 5, 21).status, 200);
    assert.equal(submit(run, 9, 22).status, 200);
    const holds = (when: string): void => {
      assert.equal(submit(run, 5, 23).status, 409, `other content under a taken number ${when}`);
      assert.equal(submit(run, 9, 23).status, 409, `other content under the newest ${when}`);
      assert.equal(submit(run, 5, 21).status, 200, `the same content again ${when}`);
      assert.equal(submit(run, 9, 22).status, 200, `the newest again ${when}`);
      assert.deepEqual([stored(run)?.generation, stored(run)?.hash], [9, hashOfMark(run, 22)]);
    };
    holds('at once');
    takeOver(run);
    holds('after a takeover');
    killAll(run);
    holds('after a full loss');
    assert.deepEqual(finishRun(run), []);
  }
});

void test('a number below the newest that nobody took is acknowledged, alters nothing, and has one content from then on', () => {
  const run = createFixture(100, 10);
  assert.equal(submit(run, 9, 31).status, 200);
  assert.equal(submit(run, 4, 32).status, 200);
  assert.equal(submit(run, 4, 33).status, 409);
  killAll(run);
  assert.equal(submit(run, 4, 33).status, 409);
  assert.equal(submit(run, 4, 32).status, 200);
  assert.deepEqual([stored(run)?.generation, stored(run)?.hash], [9, hashOfMark(run, 31)]);
  assert.deepEqual(finishRun(run), []);
});

void test('a lower number that comes while a higher one is written is acknowledged and alters nothing', () => {
  for (const seed of seedRange(6)) {
    const run = createFixture(seed, 10);
    const boxes = [
      send(run, registryAt(run, 0), 20, 41),
      send(run, registryAt(run, 1), 15, 42),
      send(run, registryAt(run, 2), 20, 41),
    ];
    run.world.runUntil(answerSpan, () => boxes.every((one) => one.answer !== undefined));
    assert.deepEqual(
      boxes.map((one) => one.answer?.status),
      [200, 200, 200],
    );
    assert.deepEqual([stored(run)?.generation, stored(run)?.hash], [20, hashOfMark(run, 41)]);
    assert.deepEqual(finishRun(run), []);
  }
});

void test('a configuration whose answer is lost with the primary is acknowledged again, everywhere', () => {
  for (const seed of seedRange(6)) {
    const run = createFixture(seed, 10);
    const box = send(run, registryAt(run, 0), 7, 51);
    const primary = run.world.primary();
    // The write lasts on the primary's disk or on both when it dies: whichever, the same order is acknowledged.
    run.world.runUntil(
      2000,
      () => primary?.writePhase === (seed % 2 === 0 ? 'writingToDisk' : 'replicating'),
    );
    takeOver(run);
    run.world.runUntil(answerSpan, () => box.answer !== undefined);
    assert.ok(box.answer === undefined || box.answer.status !== 409, JSON.stringify(box.answer));
    for (let at = 0; at < 3; at += 1) assert.equal(submit(run, 7, 51, at).status, 200);
    assert.equal(submit(run, 7, 52).status, 409);
    assert.deepEqual([stored(run)?.generation, stored(run)?.hash], [7, hashOfMark(run, 51)]);
    assert.deepEqual(finishRun(run), []);
  }
});

void test('an order of a release that was accepted is acknowledged again after another one, and not begun twice', () => {
  for (const seed of seedRange(2)) {
    const run = createFixture(seed, 40);
    run.callers.start();
    run.world.addOrigin(clips, 8, 'r2');
    run.world.addOrigin(clips, 8, 'r3');
    run.world.runFor(1500);
    assert.equal(orderRelease(run, r2).status, 200);
    assert.ok(run.world.runUntil(12_000, () => releaseRecord(run)?.phase === 'good'));
    assert.equal(orderRelease(run, r3).status, 200);
    const second = releaseRecord(run)?.order;
    assert.equal(
      orderRelease(run, r2, 1).status,
      200,
      'the first again while the second is under way',
    );
    assert.equal(releaseRecord(run)?.order, second);
    assert.ok(run.world.runUntil(12_000, () => releaseRecord(run)?.phase === 'good'));
    assert.equal(orderRelease(run, r2, 2).status, 200, 'the first again after the second');
    assert.equal(releaseRecord(run)?.order, second);
    killAll(run);
    assert.equal(orderRelease(run, r2).status, 200, 'the first again after a full loss');
    assert.equal(orderRelease(run, r3).status, 200, 'the second again after a full loss');
    assert.equal(releaseRecord(run)?.order, second);
    assert.deepEqual(finishRun(run), []);
  }
});

void test('an order whose release was judged bad is acknowledged again after its term, and not begun twice', () => {
  for (const seed of seedRange(2)) {
    const run = createFixture(seed, 40);
    run.callers.start();
    run.world.runFor(1500);
    // No origin of this release stands: it is judged bad at its term.
    assert.equal(orderRelease(run, r2).status, 200);
    assert.ok(run.world.runUntil(12_000, () => releaseRecord(run)?.phase === 'bad'));
    const first = releaseRecord(run)?.order;
    run.world.runFor(2000);
    assert.equal(orderRelease(run, r2, 1).status, 200);
    assert.equal(releaseRecord(run)?.order, first);
    killAll(run);
    assert.equal(orderRelease(run, r2, 2).status, 200);
    assert.equal(releaseRecord(run)?.order, first);
    assert.deepEqual(finishRun(run), []);
  }
});

void test('an origin that leaves tells so again, to any registry, and is acknowledged each time', () => {
  const run = createFixture(100, 10);
  const origin = run.world.origins[0];
  assert.ok(origin !== undefined);
  const { service, instance, address, release, slots } = origin;
  const announce = (state: 'leaving' | 'gone', at: number): number => {
    let status = 0;
    registryAt(run, at).handleRequest(
      { verb: 'announce', origin: { service, instance, address, release, slots, state } },
      (told) => {
        status = told.status;
      },
    );
    run.world.runUntil(2000, () => status !== 0);
    return status;
  };
  for (const state of ['leaving', 'leaving', 'gone', 'leaving', 'gone'] as const)
    for (let at = 0; at < 3; at += 1) assert.equal(announce(state, at), 200, `${state} at ${at}`);
  killAll(run);
  for (const state of ['gone', 'leaving'] as const)
    for (let at = 0; at < 3; at += 1)
      assert.equal(announce(state, at), 200, `${state} at ${at} after a full loss`);
  assert.deepEqual(finishRun(run), []);
});
