import assert from 'node:assert/strict';
import { test } from 'node:test';
import { toGeneration, toTimestamp, toRelease } from '@switchwheel/types';
import { acts, clips, scene, type Scene } from '../run/stage.js';

/** Runs a small calm fleet, breaks one rule on purpose in what happened, and gives what the checkers found. */
const spoil = (act: (run: Scene) => void): readonly string[] => {
  const run = scene(5, 60);
  run.callers.begin();
  run.world.run(3000);
  act(run);
  run.world.run(3500);
  run.callers.end();
  run.world.run(4000);
  return run.rules.finish();
};

const bites = (rule: string, act: (run: Scene) => void): void => {
  void test(`the checker of ${rule} bites`, () => {
    const found = spoil(act);
    assert.ok(
      found.some((one) => one.startsWith(rule)),
      JSON.stringify(found),
    );
  });
};

const originOf = (run: Scene, service = clips): Scene['world']['origins'][number] => {
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
  const done = run.callers.asked.find((one) => one.unsafe && one.result?.kind === 'result');
  originOf(run).runs.push({ request: done?.id ?? '', at: 0, unsafe: true });
});
bites('R2', (run) => {
  const done = run.callers.asked.find((one) => one.unsafe && one.result?.kind === 'result');
  if (done?.result !== undefined) done.result = { ...done.result, kind: 'rejected' };
});
bites('R3', (run) => {
  const done = run.callers.asked.find((one) => one.result?.kind === 'result');
  if (done?.result !== undefined) done.result = { ...done.result, object: '/somebody/else' };
});
bites('R4', (run) => {
  const write = run.world.apply(9);
  run.world.until(1000, () => write.told !== undefined);
  const proxy = run.world.proxies[0];
  assert.ok(proxy !== undefined);
  run.world.run(300);
  proxy.adopted.splice(0);
});
bites('R5', (run) => {
  run.world.apply(9);
  run.world.run(1500);
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
  run.world.run(2500);
  origin.arrivals.push(run.world.agenda.now);
});
bites('R7', (run) => {
  const [path, edge] = ['/clips/read/1', run.world.edges[0]];
  assert.ok(edge !== undefined);
  const purge = run.world.purge([path], [{ by: 'object', path }]);
  run.world.until(1000, () => purge.told !== undefined);
  run.world.run(2500);
  const asked = run.callers.one({ edge, kind: 'read' });
  run.world.run(400);
  assert.ok(asked !== undefined);
  run.callers.asked.push({
    ...asked,
    path,
    result: {
      kind: 'result',
      text: '',
      status: 200,
      revision: 0,
      object: path,
      request: '',
      stamp: run.world.agenda.now,
      from: 'edge',
      retryMs: 0,
    },
    doneAt: run.world.agenda.now,
  });
});
bites('R8', (run) => {
  for (let at = 0; at < 200; at += 1)
    for (const request of [`x${at}`, `x${at}`]) originOf(run).takes.push({ request, at: 3000 });
});
bites('R9', (run) => {
  for (let at = 0; at < 500; at += 1) originOf(run, acts).sent.push(3000);
});
bites('R10', (run) => {
  const origin = run.world.addOrigin(clips, 8, 'r9');
  run.rules.badReleases.add(toRelease('r9'));
  for (let at = 0; at < 300; at += 1) origin.arrivals.push(3100);
});
bites('lost write', (run) => {
  const write = run.world.apply(9);
  run.world.until(1000, () => write.told !== undefined);
  write.told = { at: run.world.agenda.now, status: 200, generation: 99, purge: 0, hash: '' };
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
      epoch: held.highest,
      votes: new Map(),
      leaseEndsAt: toTimestamp(shield.clock + 10_000),
      renewalRequestedAt: shield.clock,
      wonAt: shield.clock,
    };
    Object.assign(shield.state ?? {}, { activeLeaders: new Map([[service, 'clips#1']]) });
    Object.assign(shield.state?.nodeAgent ?? {}, {
      candidates: new Map([[service, { ...held, phase }]]),
    });
    run.rules.step(shield);
  }
});
