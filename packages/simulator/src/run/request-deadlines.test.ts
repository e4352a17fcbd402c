/** Requests that are given up: when callers get a reply, and that it says when to come back. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { CallerRequest } from '../processes/callers.js';
import type { SimulatedProxy } from '../processes/proxy.js';
import { clips, type Fixture, finishRun, createFixture } from './fixture.js';

/** Routes give three seconds: what is replied to by half of it was not held back for its deadline. */
const halfDeadlineMs = 1500;

const latencyMs = (request: CallerRequest): number =>
  (request.repliedAt ?? Infinity) - request.sentAt;

/** Sends requests for a while and gives those that got no result, once all have a reply. */
const sendAndCollectFailures = (
  run: Fixture,
  spanMs: number,
  edge?: SimulatedProxy,
): readonly CallerRequest[] => {
  const sent: CallerRequest[] = [];
  for (let offsetMs = 0; offsetMs < spanMs; offsetMs += 10) {
    run.world.eventQueue.schedule(offsetMs, () => {
      const request = run.callers.send({ edge, service: 'clips', isFlood: true });
      if (request !== undefined) sent.push(request);
    });
  }
  run.world.runFor(spanMs + 3500);
  assert.ok(
    sent.every((request) => request.result !== undefined),
    'everyone is told',
  );
  return sent.filter((request) => request.result?.kind !== 'result');
};

const assertPromptReplies = (
  failures: readonly CallerRequest[],
  limitMs: number,
  minCount: number,
): void => {
  assert.ok(failures.length >= minCount, `${failures.length} given up`);
  const slow = failures.filter((request) => latencyMs(request) > limitMs);
  assert.deepEqual(
    slow
      .slice(0, 3)
      .map((request) => [
        request.path,
        Math.round(latencyMs(request)),
        request.result?.kind,
        request.result?.text,
      ]),
    [],
    `${slow.length} of ${failures.length} were held`,
  );
  const withoutRetryAfter = failures.filter(
    (request) =>
      (request.result?.kind === 'rejected' || request.result?.kind === 'unready') &&
      request.result.retryAfterMs <= 0,
  );
  assert.deepEqual(
    withoutRetryAfter.slice(0, 3).map((request) => request.result),
    [],
    'each is told when to come back',
  );
};

const createFleet = (seed: number, change: Parameters<typeof createFixture>[2] = {}): Fixture => {
  const run = createFixture(seed, 30, change);
  run.callers.start();
  run.world.runFor(3000);
  return run;
};

void test('no keeper: once a service has had none for two seconds everyone is told at once', () => {
  const run = createFleet(701);
  for (const shield of run.world.shields) shield.kill();
  sendAndCollectFailures(run, 3000);
  assertPromptReplies(sendAndCollectFailures(run, 3000), 150, 250);
  for (const shield of run.world.shields) shield.start();
  run.world.runFor(5000);
  assert.deepEqual(
    sendAndCollectFailures(run, 1000),
    [],
    'and served again as soon as there is one',
  );
  assert.deepEqual(finishRun(run), []);
});

void test('no origin: after one second without any everyone is told at once', () => {
  const run = createFleet(702);
  for (const origin of run.world.origins) if (origin.service === clips) origin.leave('gone');
  run.world.runFor(3000);
  assertPromptReplies(sendAndCollectFailures(run, 3000), 60, 100);
  run.world.addOrigin(clips, 8);
  run.world.runFor(1500);
  assert.deepEqual(
    sendAndCollectFailures(run, 1000).filter(
      (request) => request.result?.text === 'no origin for a while',
    ),
    [],
  );
  assert.deepEqual(finishRun(run), []);
});

void test('a full waitlist, and a waitlist too long for the deadline: told at once', () => {
  const run = createFleet(703, {
    services: [{ name: clips, origins: 1, slots: 2, perSecond: undefined }],
  });
  for (const origin of run.world.origins) origin.extraLatencyMs = 300;
  for (let index = 0; index < 1500; index += 1)
    run.world.eventQueue.schedule(index * 2, () => {
      run.callers.send({ service: 'clips', kind: 'plain', isFlood: true });
    });
  run.world.runFor(7000);
  const failures = run.callers.requests.filter(
    (request) => request.isFlood && request.result?.kind === 'rejected',
  );
  const slow = failures.filter((request) => latencyMs(request) > halfDeadlineMs);
  assertPromptReplies(
    failures.filter((request) => latencyMs(request) <= halfDeadlineMs),
    halfDeadlineMs,
    800,
  );
  assert.ok(
    slow.length < failures.length / 20,
    `${slow.length} of ${failures.length} waited in hope of a slot for more than half of their time`,
  );
  assert.deepEqual(finishRun(run), []);
});

void test('a ceiling: what does not fit under it in time is told at once', () => {
  const run = createFleet(704, {
    services: [{ name: clips, origins: 3, slots: 20, perSecond: 40 }],
  });
  for (const kind of ['read', 'plain', 'act'])
    run.callers.floodedUntil.set(`/clips/${kind}/`, Infinity);
  for (let index = 0; index < 1500; index += 1)
    run.world.eventQueue.schedule(index * 2, () => {
      run.callers.send({ service: 'clips', kind: 'act', isFlood: true });
    });
  run.world.runFor(7000);
  const failures = run.callers.requests.filter(
    (request) => request.isFlood && request.result?.kind === 'rejected',
  );
  const slow = failures.filter((request) => latencyMs(request) > halfDeadlineMs);
  assertPromptReplies(
    failures.filter((request) => latencyMs(request) <= halfDeadlineMs),
    halfDeadlineMs,
    800,
  );
  assert.ok(
    slow.length < failures.length / 20,
    `${slow.length} of ${failures.length} waited for more than half of their time`,
  );
  assert.deepEqual(finishRun(run), []);
});

void test('only a release on trial is left: what it may not have is told at once, and it earns its traffic', () => {
  const run = createFleet(705);
  const oldOrigins = run.world.origins.filter((origin) => origin.service === clips);
  run.world.addOrigin(clips, 8, 'r2').workMs = 30;
  for (const origin of oldOrigins) origin.leave('gone');
  const failures = sendAndCollectFailures(run, 8000);
  assertPromptReplies(failures, halfDeadlineMs, 0);
  assert.deepEqual(
    sendAndCollectFailures(run, 1000),
    [],
    'a release that answers well serves alone',
  );
  assert.deepEqual(finishRun(run), []);
});

void test('an edge that is cut off: what comes is told at once, and what waits is given up', () => {
  for (const direction of ['both', 'in', 'out'] as const) {
    const run = createFleet(706);
    const edge = run.world.edges[0];
    assert.ok(edge !== undefined);
    run.faults.isolate([edge], direction);
    run.world.runFor(4500);
    assertPromptReplies(sendAndCollectFailures(run, 2000, edge), 30, 150);
    run.world.network.heal();
    run.world.runFor(3000);
    assert.deepEqual(sendAndCollectFailures(run, 1000, edge), []);
    assert.deepEqual(finishRun(run), []);
  }
});

void test('an edge that stops: nobody is held', () => {
  const run = createFleet(707);
  const edge = run.world.edges[0];
  assert.ok(edge !== undefined);
  for (let index = 0; index < 300; index += 1)
    run.world.eventQueue.schedule(index * 10, () => {
      run.callers.send({ edge, service: 'acts', isFlood: true });
    });
  run.world.eventQueue.schedule(500, () => edge.stop(() => undefined));
  run.world.runFor(7000);
  const failures = run.callers.requests.filter(
    (request) => request.edge === edge && request.isFlood,
  );
  assert.ok(
    failures.every((request) => request.result !== undefined) &&
      failures.every((request) => latencyMs(request) < halfDeadlineMs),
  );
  assert.ok(
    failures.some((request) => request.result?.kind === 'result') &&
      failures.some((request) => request.result?.kind === 'unready'),
  );
  assert.deepEqual(finishRun(run), []);
});

void test('a result that takes longer than a stop may take breaks off visibly', () => {
  const run = createFleet(708);
  const edge = run.world.edges[0];
  assert.ok(edge !== undefined);
  for (const origin of run.world.origins) origin.extraChunkMs = 900;
  const request = run.callers.send({
    edge,
    service: 'clips',
    kind: 'long',
    object: 4,
    isFlood: true,
  });
  run.world.runFor(1000);
  edge.stop(() => undefined);
  run.world.runFor(9000);
  assert.equal(edge.terminationOf(request?.edgeIncarnation ?? 0), 'planned');
  assert.ok(
    request?.result?.kind === 'broken' || request?.result?.kind === 'unknown',
    JSON.stringify(request?.result),
  );
  for (const origin of run.world.origins) origin.extraChunkMs = 0;
  assert.deepEqual(finishRun(run), []);
});

void test('too many wait for one fetch: the others are told at once', () => {
  const run = createFleet(709);
  const edge = run.world.edges[0];
  for (const origin of run.world.origins) origin.extraLatencyMs = 1000;
  for (let index = 0; index < 200; index += 1)
    run.callers.send({ edge, service: 'clips', kind: 'read', object: 7, isFlood: true });
  run.world.runFor(4000);
  const failures = run.callers.requests.filter(
    (request) => request.isFlood && request.result?.kind === 'rejected',
  );
  assertPromptReplies(failures, 30, 100);
  assert.deepEqual(finishRun(run), []);
});
