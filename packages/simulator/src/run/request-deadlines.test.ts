/** Requests that are given up: when callers get a reply, and that it says when to come back. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { CallerRequest } from '../processes/callers.js';
import type { SimulatedProxy } from '../processes/proxy.js';
import { clips, type Fixture, finishRun, createFixture } from './fixture.js';

/** Routes give three seconds: what is replied to by half of it was not held back for its deadline. */
const half = 1500;

const spent = (asked: CallerRequest): number => (asked.repliedAt ?? Infinity) - asked.sentAt;

/** Sends requests for a while and gives those that got no result, once all have a reply. */
const refused = (run: Fixture, span: number, edge?: SimulatedProxy): readonly CallerRequest[] => {
  const list: CallerRequest[] = [];
  for (let at = 0; at < span; at += 10) {
    run.world.eventQueue.schedule(at, () => {
      const asked = run.callers.send({ edge, service: 'clips', isFlood: true });
      if (asked !== undefined) list.push(asked);
    });
  }
  run.world.runFor(span + 3500);
  assert.ok(
    list.every((one) => one.result !== undefined),
    'everyone is told',
  );
  return list.filter((one) => one.result?.kind !== 'result');
};

const toldAtOnce = (list: readonly CallerRequest[], most: number, many: number): void => {
  assert.ok(list.length >= many, `${list.length} given up`);
  const slow = list.filter((one) => spent(one) > most);
  assert.deepEqual(
    slow
      .slice(0, 3)
      .map((one) => [one.path, Math.round(spent(one)), one.result?.kind, one.result?.text]),
    [],
    `${slow.length} of ${list.length} were held`,
  );
  const mute = list.filter(
    (one) =>
      (one.result?.kind === 'rejected' || one.result?.kind === 'unready') &&
      one.result.retryAfterMs <= 0,
  );
  assert.deepEqual(
    mute.slice(0, 3).map((one) => one.result),
    [],
    'each is told when to come back',
  );
};

const calm = (seed: number, change: Parameters<typeof createFixture>[2] = {}): Fixture => {
  const run = createFixture(seed, 30, change);
  run.callers.start();
  run.world.runFor(3000);
  return run;
};

void test('no keeper: once a service has had none for two seconds everyone is told at once', () => {
  const run = calm(701);
  for (const shield of run.world.shields) shield.kill();
  refused(run, 3000);
  toldAtOnce(refused(run, 3000), 150, 250);
  for (const shield of run.world.shields) shield.start();
  run.world.runFor(5000);
  assert.deepEqual(refused(run, 1000), [], 'and served again as soon as there is one');
  assert.deepEqual(finishRun(run), []);
});

void test('no origin: after one second without any everyone is told at once', () => {
  const run = calm(702);
  for (const origin of run.world.origins) if (origin.service === clips) origin.leave('gone');
  run.world.runFor(3000);
  toldAtOnce(refused(run, 3000), 60, 100);
  run.world.addOrigin(clips, 8);
  run.world.runFor(1500);
  assert.deepEqual(
    refused(run, 1000).filter((one) => one.result?.text === 'no origin for a while'),
    [],
  );
  assert.deepEqual(finishRun(run), []);
});

void test('a full waitlist, and a waitlist too long for the deadline: told at once', () => {
  const run = calm(703, {
    services: [{ name: clips, origins: 1, slots: 2, perSecond: undefined }],
  });
  for (const origin of run.world.origins) origin.extraLatencyMs = 300;
  for (let at = 0; at < 1500; at += 1)
    run.world.eventQueue.schedule(at * 2, () => {
      run.callers.send({ service: 'clips', kind: 'plain', isFlood: true });
    });
  run.world.runFor(7000);
  const list = run.callers.requests.filter((one) => one.isFlood && one.result?.kind === 'rejected');
  const late = list.filter((one) => spent(one) > half);
  toldAtOnce(
    list.filter((one) => spent(one) <= half),
    half,
    800,
  );
  assert.ok(
    late.length < list.length / 20,
    `${late.length} of ${list.length} waited in hope of a slot for more than half of their time`,
  );
  assert.deepEqual(finishRun(run), []);
});

void test('a ceiling: what does not fit under it in time is told at once', () => {
  const run = calm(704, { services: [{ name: clips, origins: 3, slots: 20, perSecond: 40 }] });
  for (const kind of ['read', 'plain', 'act'])
    run.callers.floodedUntil.set(`/clips/${kind}/`, Infinity);
  for (let at = 0; at < 1500; at += 1)
    run.world.eventQueue.schedule(at * 2, () => {
      run.callers.send({ service: 'clips', kind: 'act', isFlood: true });
    });
  run.world.runFor(7000);
  const list = run.callers.requests.filter((one) => one.isFlood && one.result?.kind === 'rejected');
  const late = list.filter((one) => spent(one) > half);
  toldAtOnce(
    list.filter((one) => spent(one) <= half),
    half,
    800,
  );
  assert.ok(
    late.length < list.length / 20,
    `${late.length} of ${list.length} waited for more than half of their time`,
  );
  assert.deepEqual(finishRun(run), []);
});

void test('only a release on trial is left: what it may not have is told at once, and it earns its traffic', () => {
  const run = calm(705);
  const old = run.world.origins.filter((one) => one.service === clips);
  run.world.addOrigin(clips, 8, 'r2').workMs = 30;
  for (const origin of old) origin.leave('gone');
  const list = refused(run, 8000);
  toldAtOnce(list, half, 0);
  assert.deepEqual(refused(run, 1000), [], 'a release that answers well serves alone');
  assert.deepEqual(finishRun(run), []);
});

void test('an edge that is cut off: what comes is told at once, and what waits is given up', () => {
  for (const way of ['both', 'in', 'out'] as const) {
    const run = calm(706);
    const edge = run.world.edges[0];
    assert.ok(edge !== undefined);
    run.faults.isolate([edge], way);
    run.world.runFor(4500);
    toldAtOnce(refused(run, 2000, edge), 30, 150);
    run.world.network.heal();
    run.world.runFor(3000);
    assert.deepEqual(refused(run, 1000, edge), []);
    assert.deepEqual(finishRun(run), []);
  }
});

void test('an edge that stops: nobody is held', () => {
  const run = calm(707);
  const edge = run.world.edges[0];
  assert.ok(edge !== undefined);
  for (let at = 0; at < 300; at += 1)
    run.world.eventQueue.schedule(at * 10, () => {
      run.callers.send({ edge, service: 'acts', isFlood: true });
    });
  run.world.eventQueue.schedule(500, () => edge.stop(() => undefined));
  run.world.runFor(7000);
  const list = run.callers.requests.filter((one) => one.edge === edge && one.isFlood);
  assert.ok(
    list.every((one) => one.result !== undefined) && list.every((one) => spent(one) < half),
  );
  assert.ok(
    list.some((one) => one.result?.kind === 'result') &&
      list.some((one) => one.result?.kind === 'unready'),
  );
  assert.deepEqual(finishRun(run), []);
});

void test('a result that takes longer than a stop may take breaks off visibly', () => {
  const run = calm(708);
  const edge = run.world.edges[0];
  assert.ok(edge !== undefined);
  for (const origin of run.world.origins) origin.extraChunkMs = 900;
  const asked = run.callers.send({
    edge,
    service: 'clips',
    kind: 'long',
    object: 4,
    isFlood: true,
  });
  run.world.runFor(1000);
  edge.stop(() => undefined);
  run.world.runFor(9000);
  assert.equal(edge.terminationOf(asked?.edgeIncarnation ?? 0), 'planned');
  assert.ok(
    asked?.result?.kind === 'broken' || asked?.result?.kind === 'unknown',
    JSON.stringify(asked?.result),
  );
  for (const origin of run.world.origins) origin.extraChunkMs = 0;
  assert.deepEqual(finishRun(run), []);
});

void test('too many wait for one fetch: the others are told at once', () => {
  const run = calm(709);
  const edge = run.world.edges[0];
  for (const origin of run.world.origins) origin.extraLatencyMs = 1000;
  for (let at = 0; at < 200; at += 1)
    run.callers.send({ edge, service: 'clips', kind: 'read', object: 7, isFlood: true });
  run.world.runFor(4000);
  const list = run.callers.requests.filter((one) => one.isFlood && one.result?.kind === 'rejected');
  toldAtOnce(list, 30, 100);
  assert.deepEqual(finishRun(run), []);
});
