/** Each checker of a rule finds what breaks it. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { toGeneration, toTimestamp, toRelease } from '@switchwheel/types';
import { acts, clips, createFixture, type Fixture } from '../run/fixture.js';

/** Runs a small calm fleet, breaks one rule on purpose in what happened, and gives what the checkers found. */
const spoil = (act: (run: Fixture) => void): readonly string[] => {
  const run = createFixture(5, 60);
  run.callers.start();
  run.world.runFor(3000);
  act(run);
  run.world.runFor(3500);
  run.callers.stop();
  run.world.runFor(4000);
  return run.ruleChecker.finish();
};

const bites = (rule: string, act: (run: Fixture) => void): void => {
  void test(`the checker of ${rule} bites`, () => {
    const found = spoil(act);
    assert.ok(
      found.some((one) => one.startsWith(rule)),
      JSON.stringify(found),
    );
  });
};

const originOf = (run: Fixture, service = clips): Fixture['world']['origins'][number] => {
  const found = run.world.origins.find((one) => one.service === service);
  assert.ok(found !== undefined);
  return found;
};

void test('nothing spoilt, nothing found', () => {
  assert.deepEqual(
    spoil(() => undefined),
    [],
  );
});

bites('R1', (run) => {
  const done = run.callers.requests.find((one) => one.isUnsafe && one.result?.kind === 'result');
  originOf(run).executions.push({ requestId: done?.id ?? '', at: 0, isUnsafe: true });
});
bites('R2', (run) => {
  const done = run.callers.requests.find((one) => one.isUnsafe && one.result?.kind === 'result');
  if (done?.result !== undefined) done.result = { ...done.result, kind: 'rejected' };
});
bites('R3', (run) => {
  const done = run.callers.requests.find((one) => one.result?.kind === 'result');
  if (done?.result !== undefined) done.result = { ...done.result, object: '/somebody/else' };
});
bites('R4', (run) => {
  const write = run.world.apply(9);
  run.world.runUntil(1000, () => write.reply !== undefined);
  const proxy = run.world.proxies[0];
  assert.ok(proxy !== undefined);
  run.world.runFor(300);
  proxy.activations.splice(0);
});
bites('R5', (run) => {
  run.world.apply(9);
  run.world.runFor(1500);
  const proxy = run.world.proxies[0];
  const offer = proxy?.state?.nodeAgent.compiledConfiguration;
  assert.ok(proxy !== undefined && offer !== undefined);
  // The node is made to run an older table, past the check that never lets it.
  const state = proxy.state;
  const held = new Map(Object.entries(state?.nodeAgent ?? {}));
  assert.ok(held.has('compiledConfiguration'));
  Object.assign(state?.nodeAgent ?? {}, {
    compiledConfiguration: { ...offer, generation: toGeneration(1) },
  });
});
bites('R6', (run) => {
  const origin = originOf(run);
  origin.leave('leaving');
  run.world.runFor(2500);
  origin.arrivalTimes.push(run.world.eventQueue.now);
});
bites('R7', (run) => {
  const [path, edge] = ['/clips/read/1', run.world.edges[0]];
  assert.ok(edge !== undefined);
  const purge = run.world.purge([path], [{ by: 'object', path }]);
  run.world.runUntil(1000, () => purge.reply !== undefined);
  run.world.runFor(2500);
  const asked = run.callers.send({ edge, kind: 'read' });
  run.world.runFor(400);
  assert.ok(asked !== undefined);
  run.callers.requests.push({
    ...asked,
    path,
    result: {
      kind: 'result',
      text: '',
      status: 200,
      revision: 0,
      object: path,
      request: '',
      createdAt: run.world.eventQueue.now,
      source: 'edge',
      retryAfterMs: 0,
    },
    answeredAt: run.world.eventQueue.now,
  });
});
bites('R8', (run) => {
  for (let at = 0; at < 200; at += 1)
    for (const request of [`x${at}`, `x${at}`]) originOf(run).attempts.push({ request, at: 3000 });
});
bites('R9', (run) => {
  for (let at = 0; at < 500; at += 1) originOf(run, acts).receiveTimes.push(3000);
});
bites('R10', (run) => {
  const origin = run.world.addOrigin(clips, 8, 'r9');
  run.ruleChecker.badReleases.add(toRelease('r9'));
  for (let at = 0; at < 300; at += 1) origin.arrivalTimes.push(3100);
});
bites('lost write', (run) => {
  const write = run.world.apply(9);
  run.world.runUntil(1000, () => write.reply !== undefined);
  write.reply = { at: run.world.eventQueue.now, status: 200, generation: 99, purge: 0, hash: '' };
});
bites('one holder', (run) => {
  const [one, two] = run.world.shields;
  const held = run.world.shields
    .flatMap((shield) => [...(shield.state?.nodeAgent.candidates.values() ?? [])])
    .find((candidate) => candidate.phase.phase === 'holdingLease');
  assert.ok(one !== undefined && two !== undefined && held !== undefined);
  const service = clips;
  for (const shield of [one, two]) {
    const phase = {
      phase: 'holdingLease' as const,
      epoch: held.highestEpoch,
      votes: new Map(),
      leaseEndsAt: toTimestamp(shield.clock + 10_000),
      renewalRequestedAt: shield.clock,
      wonAt: shield.clock,
    };
    Object.assign(shield.state ?? {}, { activeLeaders: new Map([[service, 'clips#1']]) });
    Object.assign(shield.state?.nodeAgent ?? {}, {
      candidates: new Map([[service, { ...held, phase }]]),
    });
    run.ruleChecker.checkProcess(shield);
  }
});
