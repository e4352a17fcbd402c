/** Failing requests get an early response with a retry delay instead of waiting for their deadline. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { CallerRequest } from '../processes/callers.js';
import type { SimulatedProxy } from '../processes/proxy.js';
import { clips, type Fixture, finishRun, createFixture } from './fixture.js';

/** Half of the routes' deadline of 3 s: a response before it was not held until the deadline. */
const halfDeadlineMs = 1500;

const latencyMs = (request: CallerRequest): number =>
  (request.repliedAt ?? Infinity) - request.sentAt;

/** Sends requests for a span, waits for all responses and returns the requests that failed. */
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
    'every request gets a response',
  );
  return sent.filter((request) => request.result?.kind !== 'result');
};

const assertPromptReplies = (
  failures: readonly CallerRequest[],
  limitMs: number,
  minCount: number,
): void => {
  assert.ok(failures.length >= minCount, `only ${failures.length} requests failed`);
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
    `${slow.length} of ${failures.length} failed requests were held too long`,
  );
  const withoutRetryAfter = failures.filter(
    (request) =>
      (request.result?.kind === 'rejected' || request.result?.kind === 'unready') &&
      request.result.retryAfterMs <= 0,
  );
  assert.deepEqual(
    withoutRetryAfter.slice(0, 3).map((request) => request.result),
    [],
    'every rejection has a retry delay',
  );
};

const createFleet = (seed: number, change: Parameters<typeof createFixture>[2] = {}): Fixture => {
  const run = createFixture(seed, 30, change);
  run.callers.start();
  run.world.runFor(3000);
  return run;
};

void test('requests fail at once when a service has had no leader for two seconds', () => {
  const run = createFleet(701);
  for (const shield of run.world.shields) shield.kill();
  sendAndCollectFailures(run, 3000);
  assertPromptReplies(sendAndCollectFailures(run, 3000), 150, 250);
  for (const shield of run.world.shields) shield.start();
  run.world.runFor(5000);
  assert.deepEqual(
    sendAndCollectFailures(run, 1000),
    [],
    'requests are served once there is a service leader',
  );
  assert.deepEqual(finishRun(run), []);
});

void test('requests fail at once when a service has had no origin for one second', () => {
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

void test('requests fail at once when the queue is full or too long for their deadline', () => {
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
    `${slow.length} of ${failures.length} rejected requests waited for a slot for more than half of their deadline`,
  );
  assert.deepEqual(finishRun(run), []);
});

void test('requests that the rate limit does not admit before their deadline fail at once', () => {
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
    `${slow.length} of ${failures.length} rejected requests waited for more than half of their deadline`,
  );
  assert.deepEqual(finishRun(run), []);
});

void test('requests beyond the share of a canary fail at once when no other release is left, and a good canary gets all traffic', () => {
  const run = createFleet(705);
  const oldOrigins = run.world.origins.filter((origin) => origin.service === clips);
  run.world.addOrigin(clips, 8, 'r2').workMs = 30;
  for (const origin of oldOrigins) origin.leave('gone');
  const failures = sendAndCollectFailures(run, 8000);
  assertPromptReplies(failures, halfDeadlineMs, 0);
  assert.deepEqual(
    sendAndCollectFailures(run, 1000),
    [],
    'a good release serves all requests alone',
  );
  assert.deepEqual(finishRun(run), []);
});

void test('requests to a disconnected edge fail at once', () => {
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

void test('no request is held when an edge stops', () => {
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

void test('a response that takes longer than the grace period of a stopping edge is visibly broken off', () => {
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

void test('requests beyond the maximum number of waiters for one fetch fail at once', () => {
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
