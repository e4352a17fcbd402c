/** Releases of origins: canaries, and bad ones that are found. */

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

const orderOf = (run: Fixture, service: ServiceName): ReleaseRollout | undefined =>
  run.world.primary()?.state?.control.releases.get(service);
const told = (run: Fixture, service: ServiceName): readonly (RolloutState | undefined)[] =>
  run.world.registries.map((one) =>
    one.state?.feed.releases.find((row) => row.service === service),
  );

interface Answer {
  readonly status: number;
  readonly body: string;
}

/** Gives an order, and again under the same id until it is answered. */
const give = (
  run: Fixture,
  id: string,
  service: ServiceName,
  target: Release,
  spanMs: number,
): Answer => {
  let answer: Answer | undefined;
  const got = (): boolean => answer !== undefined && answer.status < 500;
  for (let turn = 0; turn < 5 && !got(); turn += 1) {
    run.world.registries
      .find((one) => one.isAlive)
      ?.handleRequest({ verb: 'release', id: toCommandId(id), service, target, spanMs }, (one) => {
        answer = one;
      });
    run.world.runUntil(5000, got);
  }
  return answer ?? { status: 0, body: '' };
};

const view = (run: Fixture, id: string, what: string): Answer => {
  let answer: Answer | undefined;
  run.world.registries
    .find((one) => one.isAlive)
    ?.handleRequest({ verb: 'view', id: toCommandId(id), viewName: what }, (one) => {
      answer = one;
    });
  run.world.runUntil(3000, () => answer !== undefined);
  return answer ?? { status: 0, body: '' };
};

const loseAll = (run: Fixture): void => {
  for (const actor of run.world.allProcesses) {
    actor.kill();
    run.world.eventQueue.schedule(200, () => actor.start());
  }
  run.world.runFor(12_000);
};

void test('a service settles on the release that most of its origins bear', () => {
  const run = createFixture(100, 20);
  run.world.addOrigin(clips, 8, 'r2');
  run.world.runFor(2000);
  const first = orderOf(run, clips);
  assert.ok(
    first !== undefined &&
      first.phase === 'none' &&
      first.settled !== undefined &&
      first.settled !== r2,
  );
  assert.ok(told(run, clips).every((one) => one?.settled === first.settled));
  assert.equal(view(run, 'v1', 'release/clips').status, 404);
  assert.deepEqual(finishRun(run), []);
});

void test('an order goes on where it was as the primary changes, and what was told good stays through a full loss', () => {
  for (const seed of seedRange(2)) {
    const run = createFixture(seed, 40);
    run.callers.start();
    run.world.addOrigin(clips, 8, 'r2');
    run.world.runFor(1500);
    const before = orderOf(run, clips)?.settled;
    const from = run.world.eventQueue.now;
    const answer = give(run, 'o1', clips, r2, 12_000);
    assert.equal(answer.status, 200, answer.body);
    const opened = orderOf(run, clips);
    assert.ok(opened !== undefined && opened.phase === 'trial' && opened.target === r2);
    // The same order again, under its own id or another, is answered and changes nothing; another target has to wait.
    assert.equal(give(run, 'o1', clips, r2, 12_000).body, answer.body);
    assert.equal(give(run, 'o2', clips, r2, 12_000).status, 200);
    assert.equal(orderOf(run, clips)?.order, opened.order);
    assert.equal(give(run, 'o3', clips, r3, 12_000).status, 409);
    run.world.runFor(Math.max(0, 4000 - (run.world.eventQueue.now - from)));
    const lost = run.world.primary();
    lost?.kill();
    run.world.eventQueue.schedule(3000, () => lost?.start());
    assert.ok(
      run.world.runUntil(
        6000,
        () => orderOf(run, clips) !== undefined && run.world.primary() !== lost,
      ),
    );
    const after = orderOf(run, clips);
    assert.ok(
      after !== undefined &&
        after.phase === 'trial' &&
        after.settled === before &&
        after.order === opened.order &&
        after.spentMs > 1500,
      JSON.stringify(after),
    );
    assert.ok(run.world.runUntil(12_000, () => orderOf(run, clips)?.phase === 'good'));
    // Without edges that tell the time, what the dead primary had not written is lost, and the time until the next one.
    const late = run.world.eventQueue.now - from - 12_000;
    assert.ok(late < 3000, String(late));
    run.world.runFor(1500);
    assert.ok(told(run, clips).every((one) => one?.phase === 'good' && one.settled === r2));
    const seen = view(run, 'v2', 'release/clips');
    assert.ok(
      seen.status === 200 &&
        seen.body.includes('"phase":"good"') &&
        seen.body.includes('"target":"r2"'),
      seen.body,
    );
    loseAll(run);
    assert.equal(orderOf(run, clips)?.phase, 'good');
    assert.equal(orderOf(run, clips)?.settled, r2);
    assert.deepEqual(finishRun(run), []);
  }
});

void test('a release that an edge shows to be bad is told bad, everywhere, and stays bad through a full loss', () => {
  for (const seed of seedRange(2)) {
    const run = createFixture(seed, 40);
    run.callers.start();
    run.world.addOrigin(acts, 4, 'r2');
    run.world.runFor(1500);
    const before = orderOf(run, acts)?.settled;
    assert.ok(before !== undefined);
    assert.equal(give(run, 'o1', acts, r2, 12_000).status, 200);
    const opened = orderOf(run, acts);
    assert.ok(opened !== undefined);
    const from: Peer = {
      node: toNodeId('e9'),
      address: toAddress('10.9.9.9:1'),
      incarnation: toIncarnation(1),
    };
    const word: FrameOf<'tally'> = {
      kind: 'tally',
      node: from.node,
      incarnation: toIncarnation(1),
      service: acts,
      order: opened.order,
      serial: noSeq,
      inFlightOld: 0,
      spentMs: toDurationMs(2500),
      rows: [
        { release: before, group: 'a', sent: 200, good: 199, bad: 1, slow: 0, sumMs: 16_000 },
        { release: r2, group: 'a', sent: 14, good: 7, bad: 7, slow: 0, sumMs: 1100 },
      ],
    };
    run.world.primary()?.dispatch((now) => ({ kind: 'frameReceived', now, from, frame: word }));
    assert.ok(run.world.runUntil(1000, () => orderOf(run, acts)?.phase === 'bad'));
    assert.ok(
      (orderOf(run, acts)?.spentMs ?? 0) >= 2500,
      'the edge tells how much of the span is over',
    );
    run.world.runFor(500);
    assert.ok(
      told(run, acts).every(
        (one) => one?.phase === 'bad' && one.settled === before && one.share === 0,
      ),
    );
    loseAll(run);
    assert.equal(orderOf(run, acts)?.phase, 'bad');
    assert.ok(told(run, acts).every((one) => one?.phase === 'bad'));
    assert.deepEqual(finishRun(run), []);
  }
});
