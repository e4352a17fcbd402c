/** Release rollouts that survive a change of the primary and full restarts. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  type Release,
  type ServiceName,
  noSeq,
  toAddress,
  toCommandId,
  toIncarnation,
  toNodeId,
  toRelease,
  toDurationMs,
} from '@switchwheel/types';
import type { Peer, FrameOf, RolloutState } from '@switchwheel/transport';
import type { ReleaseRollout } from '@switchwheel/configuration';
import { type Fixture, acts, clips, finishRun, createFixture, seedRange } from './fixture.js';

const r2 = toRelease('r2');
const r3 = toRelease('r3');

const rolloutOf = (run: Fixture, service: ServiceName): ReleaseRollout | undefined =>
  run.world.primary()?.state?.control.releases.get(service);
const feedStates = (run: Fixture, service: ServiceName): readonly (RolloutState | undefined)[] =>
  run.world.registries.map((registry) =>
    registry.state?.feed.releases.find((row) => row.service === service),
  );

interface Reply {
  readonly status: number;
  readonly body: string;
}

/** Requests a release rollout, retried under the same command id until the status is below 500. */
const requestRelease = (
  run: Fixture,
  id: string,
  service: ServiceName,
  target: Release,
  spanMs: number,
): Reply => {
  let reply: Reply | undefined;
  const isAnswered = (): boolean => reply !== undefined && reply.status < 500;
  for (let attempt = 0; attempt < 5 && !isAnswered(); attempt += 1) {
    run.world.registries
      .find((registry) => registry.isAlive)
      ?.handleRequest(
        { verb: 'release', id: toCommandId(id), service, target, spanMs },
        (received) => {
          reply = received;
        },
      );
    run.world.runUntil(5000, isAnswered);
  }
  return reply ?? { status: 0, body: '' };
};

const readView = (run: Fixture, id: string, viewName: string): Reply => {
  let reply: Reply | undefined;
  run.world.registries
    .find((registry) => registry.isAlive)
    ?.handleRequest({ verb: 'view', id: toCommandId(id), viewName }, (received) => {
      reply = received;
    });
  run.world.runUntil(3000, () => reply !== undefined);
  return reply ?? { status: 0, body: '' };
};

const restartAll = (run: Fixture): void => {
  for (const process of run.world.allProcesses) {
    process.kill();
    run.world.eventQueue.schedule(200, () => process.start());
  }
  run.world.runFor(12_000);
};

void test('a service settles on the release that most of its origins run', () => {
  const run = createFixture(100, 20);
  run.world.addOrigin(clips, 8, 'r2');
  run.world.runFor(2000);
  const rollout = rolloutOf(run, clips);
  assert.ok(
    rollout !== undefined &&
      rollout.phase === 'none' &&
      rollout.settled !== undefined &&
      rollout.settled !== r2,
  );
  assert.ok(feedStates(run, clips).every((state) => state?.settled === rollout.settled));
  assert.equal(readView(run, 'v1', 'release/clips').status, 404);
  assert.deepEqual(finishRun(run), []);
});

void test('a rollout continues after a change of the primary, and a good result survives a full restart', () => {
  for (const seed of seedRange(2)) {
    const run = createFixture(seed, 40);
    run.callers.start();
    run.world.addOrigin(clips, 8, 'r2');
    run.world.runFor(1500);
    const settledBefore = rolloutOf(run, clips)?.settled;
    const from = run.world.eventQueue.now;
    const reply = requestRelease(run, 'o1', clips, r2, 12_000);
    assert.equal(reply.status, 200, reply.body);
    const openedRollout = rolloutOf(run, clips);
    assert.ok(
      openedRollout !== undefined && openedRollout.phase === 'trial' && openedRollout.target === r2,
    );
    // The repeated request is acknowledged under any command id and changes nothing; another target is rejected.
    assert.equal(requestRelease(run, 'o1', clips, r2, 12_000).body, reply.body);
    assert.equal(requestRelease(run, 'o2', clips, r2, 12_000).status, 200);
    assert.equal(rolloutOf(run, clips)?.order, openedRollout.order);
    assert.equal(requestRelease(run, 'o3', clips, r3, 12_000).status, 409);
    run.world.runFor(Math.max(0, 4000 - (run.world.eventQueue.now - from)));
    const formerPrimary = run.world.primary();
    formerPrimary?.kill();
    run.world.eventQueue.schedule(3000, () => formerPrimary?.start());
    assert.ok(
      run.world.runUntil(
        6000,
        () => rolloutOf(run, clips) !== undefined && run.world.primary() !== formerPrimary,
      ),
    );
    const resumedRollout = rolloutOf(run, clips);
    assert.ok(
      resumedRollout !== undefined &&
        resumedRollout.phase === 'trial' &&
        resumedRollout.settled === settledBefore &&
        resumedRollout.order === openedRollout.order &&
        resumedRollout.spentMs > 1500,
      JSON.stringify(resumedRollout),
    );
    assert.ok(run.world.runUntil(12_000, () => rolloutOf(run, clips)?.phase === 'good'));
    // No edge reports elapsed time here: unwritten progress and the time without a primary are lost.
    const delayMs = run.world.eventQueue.now - from - 12_000;
    assert.ok(delayMs < 3000, String(delayMs));
    run.world.runFor(1500);
    assert.ok(
      feedStates(run, clips).every((state) => state?.phase === 'good' && state.settled === r2),
    );
    const releaseView = readView(run, 'v2', 'release/clips');
    assert.ok(
      releaseView.status === 200 &&
        releaseView.body.includes('"phase":"good"') &&
        releaseView.body.includes('"target":"r2"'),
      releaseView.body,
    );
    restartAll(run);
    assert.equal(rolloutOf(run, clips)?.phase, 'good');
    assert.equal(rolloutOf(run, clips)?.settled, r2);
    assert.deepEqual(finishRun(run), []);
  }
});

void test('a release that fails at an edge is marked bad at every registry and stays bad after a full restart', () => {
  for (const seed of seedRange(2)) {
    const run = createFixture(seed, 40);
    run.callers.start();
    run.world.addOrigin(acts, 4, 'r2');
    run.world.runFor(1500);
    const settledBefore = rolloutOf(run, acts)?.settled;
    assert.ok(settledBefore !== undefined);
    assert.equal(requestRelease(run, 'o1', acts, r2, 12_000).status, 200);
    const openedRollout = rolloutOf(run, acts);
    assert.ok(openedRollout !== undefined);
    const from: Peer = {
      node: toNodeId('e9'),
      address: toAddress('10.9.9.9:1'),
      incarnation: toIncarnation(1),
    };
    const tally: FrameOf<'tally'> = {
      kind: 'tally',
      node: from.node,
      incarnation: toIncarnation(1),
      service: acts,
      order: openedRollout.order,
      serial: noSeq,
      inFlightOld: 0,
      spentMs: toDurationMs(2500),
      rows: [
        {
          release: settledBefore,
          group: 'a',
          sent: 200,
          good: 199,
          bad: 1,
          slow: 0,
          sumMs: 16_000,
        },
        { release: r2, group: 'a', sent: 14, good: 7, bad: 7, slow: 0, sumMs: 1100 },
      ],
    };
    run.world.primary()?.dispatch((now) => ({ kind: 'frameReceived', now, from, frame: tally }));
    assert.ok(run.world.runUntil(1000, () => rolloutOf(run, acts)?.phase === 'bad'));
    assert.ok(
      (rolloutOf(run, acts)?.spentMs ?? 0) >= 2500,
      'the elapsed time reported by the edge is counted',
    );
    run.world.runFor(500);
    assert.ok(
      feedStates(run, acts).every(
        (state) => state?.phase === 'bad' && state.settled === settledBefore && state.share === 0,
      ),
    );
    restartAll(run);
    assert.equal(rolloutOf(run, acts)?.phase, 'bad');
    assert.ok(feedStates(run, acts).every((state) => state?.phase === 'bad'));
    assert.deepEqual(finishRun(run), []);
  }
});
