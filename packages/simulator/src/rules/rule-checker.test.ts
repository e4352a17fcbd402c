/** A checker that never reports anything would let broken rules pass. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { toGeneration, toTimestamp, toRelease } from '@switchwheel/types';
import { acts, clips, createFixture, type Fixture } from '../run/fixture.js';

/** Runs a small fleet without faults, breaks one rule in its records on purpose, and returns the violations. */
const runWithViolation = (breakRule: (run: Fixture) => void): readonly string[] => {
  const run = createFixture(5, 60);
  run.callers.start();
  run.world.runFor(3000);
  breakRule(run);
  run.world.runFor(3500);
  run.callers.stop();
  run.world.runFor(4000);
  return run.ruleChecker.finish();
};

const testDetects = (rule: string, breakRule: (run: Fixture) => void): void => {
  void test(`the rule checker reports a violation of ${rule}`, () => {
    const violations = runWithViolation(breakRule);
    assert.ok(
      violations.some((violation) => violation.startsWith(rule)),
      JSON.stringify(violations),
    );
  });
};

const originOf = (run: Fixture, service = clips): Fixture['world']['origins'][number] => {
  const origin = run.world.origins.find((candidate) => candidate.service === service);
  assert.ok(origin !== undefined);
  return origin;
};

void test('a run without faults has no violations', () => {
  assert.deepEqual(
    runWithViolation(() => undefined),
    [],
  );
});

testDetects('R1', (run) => {
  const completed = run.callers.requests.find(
    (request) => request.isUnsafe && request.result?.kind === 'result',
  );
  originOf(run).executions.push({ requestId: completed?.id ?? '', at: 0, isUnsafe: true });
});
testDetects('R2', (run) => {
  const completed = run.callers.requests.find(
    (request) => request.isUnsafe && request.result?.kind === 'result',
  );
  if (completed?.result !== undefined) completed.result = { ...completed.result, kind: 'rejected' };
});
testDetects('R3', (run) => {
  const completed = run.callers.requests.find((request) => request.result?.kind === 'result');
  if (completed?.result !== undefined)
    completed.result = { ...completed.result, object: '/somebody/else' };
});
testDetects('R4', (run) => {
  const write = run.world.apply(9);
  run.world.runUntil(1000, () => write.reply !== undefined);
  const proxy = run.world.proxies[0];
  assert.ok(proxy !== undefined);
  run.world.runFor(300);
  proxy.activations.splice(0);
});
testDetects('R5', (run) => {
  run.world.apply(9);
  run.world.runFor(1500);
  const proxy = run.world.proxies[0];
  const offer = proxy?.state?.nodeAgent.compiledConfiguration;
  assert.ok(proxy !== undefined && offer !== undefined);
  // Replaces the configuration of the node directly, which bypasses its own check.
  const proxyState = proxy.state;
  const agentFields = new Map(Object.entries(proxyState?.nodeAgent ?? {}));
  assert.ok(agentFields.has('compiledConfiguration'));
  Object.assign(proxyState?.nodeAgent ?? {}, {
    compiledConfiguration: { ...offer, generation: toGeneration(1) },
  });
});
testDetects('R6', (run) => {
  const origin = originOf(run);
  origin.leave('leaving');
  run.world.runFor(2500);
  origin.arrivalTimes.push(run.world.eventQueue.now);
});
testDetects('R7', (run) => {
  const [path, edge] = ['/clips/read/1', run.world.edges[0]];
  assert.ok(edge !== undefined);
  const purge = run.world.purge([path], [{ by: 'object', path }]);
  run.world.runUntil(1000, () => purge.reply !== undefined);
  run.world.runFor(2500);
  const request = run.callers.send({ edge, kind: 'read' });
  run.world.runFor(400);
  assert.ok(request !== undefined);
  run.callers.requests.push({
    ...request,
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
    repliedAt: run.world.eventQueue.now,
  });
});
testDetects('R8', (run) => {
  for (let index = 0; index < 200; index += 1)
    for (const request of [`x${index}`, `x${index}`])
      originOf(run).attempts.push({ request, at: 3000 });
});
testDetects('R9', (run) => {
  for (let index = 0; index < 500; index += 1) originOf(run, acts).receiveTimes.push(3000);
});
testDetects('R10', (run) => {
  const origin = run.world.addOrigin(clips, 8, 'r9');
  run.ruleChecker.badReleases.add(toRelease('r9'));
  for (let index = 0; index < 300; index += 1) origin.arrivalTimes.push(3100);
});
testDetects('lost write', (run) => {
  const write = run.world.apply(9);
  run.world.runUntil(1000, () => write.reply !== undefined);
  write.reply = { at: run.world.eventQueue.now, status: 200, generation: 99, purge: 0, hash: '' };
});
testDetects('lease holder', (run) => {
  const [firstShield, secondShield] = run.world.shields;
  const leaseHolder = run.world.shields
    .flatMap((shield) => [...(shield.state?.nodeAgent.candidates.values() ?? [])])
    .find((candidate) => candidate.phase.phase === 'holdingLease');
  assert.ok(firstShield !== undefined && secondShield !== undefined && leaseHolder !== undefined);
  const service = clips;
  for (const shield of [firstShield, secondShield]) {
    const phase = {
      phase: 'holdingLease' as const,
      epoch: leaseHolder.highestEpoch,
      votes: new Map(),
      leaseEndsAt: toTimestamp(shield.clock + 10_000),
      renewalRequestedAt: shield.clock,
      wonAt: shield.clock,
    };
    Object.assign(shield.state ?? {}, { activeLeaders: new Map([[service, 'clips#1']]) });
    Object.assign(shield.state?.nodeAgent ?? {}, {
      candidates: new Map([[service, { ...leaseHolder, phase }]]),
    });
    run.ruleChecker.checkProcess(shield);
  }
});
