/** One failure of each kind, and what callers and operators see of it. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { toCommandId, toRelease } from '@switchwheel/types';
import { stopProxy } from '../fault/process-actions.js';
import {
  type Fixture,
  acts,
  clips,
  finishRun,
  createFixture,
  seedRange,
  countOutcomes,
} from './fixture.js';

/** From now on everyone gets a result, and no rule was broken to the end. */
const servesOn = (run: Fixture): void => {
  const from = run.world.eventQueue.now;
  run.world.runFor(3000);
  assert.deepEqual(finishRun(run), []);
  assert.deepEqual([...countOutcomes(run.callers, from).keys()], ['result']);
};

const purgeOf = (
  path: string,
): readonly [readonly string[], readonly [{ readonly by: 'object'; readonly path: string }]] => [
  [path],
  [{ by: 'object', path }],
];

void test('R1, R2: origins that lose answers after the work never run a write twice, and nothing refused ran', () => {
  for (const seed of seedRange(4)) {
    const run = createFixture(seed, 60);
    for (const origin of run.world.origins) {
      origin.lossProbability = 0.3;
      origin.corruptionProbability = 0.1;
      origin.truncationProbability = 0.1;
      origin.wrongInstanceProbability = 0.1;
    }
    run.callers.disconnectProbability = 0.2;
    run.callers.start();
    run.world.runFor(8000);
    assert.deepEqual(finishRun(run), []);
    const told = countOutcomes(run.callers);
    assert.ok(
      (told.get('lost') ?? 0) > 0 && (told.get('result') ?? 0) > 100,
      JSON.stringify([...told]),
    );
  }
});

void test('R1, R2: keepers killed, frozen and cut off while writes pass through them', () => {
  for (const seed of seedRange(4)) {
    const run = createFixture(seed, 80);
    run.callers.start();
    for (let turn = 0; turn < 6; turn += 1) {
      run.world.runFor(1700);
      const keeper = run.world.serviceLeaderOf(turn % 2 === 0 ? acts : clips);
      if (keeper === undefined) continue;
      if (turn % 3 === 0) {
        keeper.kill();
        run.world.eventQueue.schedule(500, () => keeper.start());
      } else if (turn % 3 === 1) {
        keeper.freeze();
        run.world.eventQueue.schedule(2500, () => keeper.resume());
      } else {
        run.faults.isolate(run.faults.processesOnMachineOf(keeper), 'both');
        run.world.eventQueue.schedule(1500, () => run.world.network.heal());
      }
    }
    run.world.runFor(4000);
    assert.deepEqual(finishRun(run), []);
  }
});

void test('R4, R5: the primary dies at any moment after it accepted: in force everywhere all the same', () => {
  for (const wait of [0, 1, 3, 6, 10, 20, 40, 80, 200, 500]) {
    const run = createFixture(300 + wait, 20);
    run.callers.start();
    run.world.runFor(1500);
    const write = run.world.apply(77);
    assert.ok(run.world.runUntil(1000, () => write.reply !== undefined));
    run.world.runFor(wait);
    const primary = run.world.primary();
    assert.ok(primary !== undefined);
    primary.kill();
    run.world.eventQueue.schedule(4000, () => primary.start());
    run.world.runFor(8000);
    assert.deepEqual(finishRun(run), []);
    assert.equal(write.reply?.status, 200);
  }
});

void test('two operators on one base, at different registries: one is accepted, the other rejected with the generation in force', () => {
  for (const seed of seedRange(6)) {
    const run = createFixture(seed, 5);
    const base = run.world.primary()?.state?.control.configuration?.offer.generation;
    const pair = [run.world.apply(10, base), run.world.apply(11, base)];
    assert.ok(run.world.runUntil(2000, () => pair.every((one) => one.reply !== undefined)));
    assert.deepEqual(pair.map((one) => one.reply?.status).sort(), [200, 409]);
    const [won, lost] = pair[0]?.reply?.status === 200 ? pair : [pair[1], pair[0]];
    assert.equal(lost?.reply?.generation, won?.reply?.generation);
    run.world.runFor(4000);
    assert.deepEqual(finishRun(run), []);
  }
});

void test('R12: every process killed at once: serving again in 15 s, no accepted write, purge or verdict lost', () => {
  for (const seed of seedRange(4)) {
    const run = createFixture(seed, 40);
    run.callers.start();
    run.world.runFor(2000);
    const write = run.world.apply(5);
    const [paths, aims] = purgeOf('/clips/read/3');
    const purge = run.world.purge(paths, aims);
    assert.ok(
      run.world.runUntil(2000, () => write.reply !== undefined && purge.reply !== undefined),
    );
    const verdicts = run.world.primary()?.state?.control.canaryResults.size ?? 0;
    assert.ok(verdicts >= 2);
    for (const actor of run.world.allProcesses) {
      actor.kill();
      run.world.eventQueue.schedule(run.world.random.uniform(10, 1000), () => actor.start());
    }
    const back = run.world.eventQueue.now;
    assert.ok(
      run.world.runUntil(
        15_000,
        () =>
          run.world.edges.every((one) => one.isReady) &&
          [clips, acts].every((one) => run.world.serviceLeaderOf(one) !== undefined),
      ),
    );
    run.world.runFor(Math.max(0, 15_000 - (run.world.eventQueue.now - back)));
    const from = run.world.eventQueue.now;
    run.world.runFor(3000);
    assert.deepEqual(finishRun(run), []);
    const told = countOutcomes(run.callers, from);
    assert.deepEqual([...told.keys()], ['result']);
    const control = run.world.primary()?.state?.control;
    assert.ok(
      control !== undefined &&
        control.canaryResults.size >= verdicts &&
        control.purges.length === 1,
    );
  }
});

void test('each store in turn loses its disk, fills, stalls and tears: no confirmed write is lost and writing goes on', () => {
  for (const seed of seedRange(2)) {
    const run = createFixture(seed, 10);
    let mark = 100;
    for (const trouble of ['wipe', 'full', 'stalled', 'torn'] as const) {
      for (const store of run.world.stores) {
        if (trouble === 'wipe' || trouble === 'torn') {
          store.kill();
          if (trouble === 'wipe') store.disk.wipe();
          else store.disk.isTorn = true;
          run.world.eventQueue.schedule(800, () => store.start());
        } else store.disk.condition = trouble;
        // Within a few seconds writes are taken again, while the fault goes on.
        let taken = false;
        for (let turn = 0; turn < 8 && !taken; turn += 1) {
          mark += 1;
          const write = run.world.apply(mark);
          run.world.runUntil(9000, () => write.reply !== undefined);
          taken = write.reply?.status === 200;
        }
        assert.ok(taken, `${trouble} at ${store.node}`);
        store.disk.isTorn = false;
        store.disk.recover();
        assert.ok(
          run.world.runUntil(
            15_000,
            () => run.world.primary()?.state?.metadata?.inSyncSet.length === 2,
          ),
          `${trouble} at ${store.node}: in sync again`,
        );
      }
    }
    assert.deepEqual(finishRun(run), []);
  }
});

void test('a backup that comes back with an empty disk is mended though nothing is written meanwhile', () => {
  for (const trouble of ['wipe', 'torn'] as const) {
    const run = createFixture(31, 5);
    run.world.runFor(3000);
    const backup = run.world.stores.find((one) => one !== run.world.primary());
    assert.ok(backup !== undefined);
    const entries = backup.state?.table.size ?? 0;
    backup.kill();
    if (trouble === 'wipe') backup.disk.wipe();
    else backup.disk.isTorn = true;
    backup.start();
    run.world.runFor(4000);
    assert.ok(
      entries > 5 && (backup.state?.table.size ?? 0) >= entries,
      `${backup.state?.table.size ?? 0} of ${entries} entries`,
    );
    assert.equal(run.world.primary()?.state?.metadata?.inSyncSet.length, 2);
    // It can take over now.
    run.world.primary()?.kill();
    assert.ok(run.world.runUntil(4000, () => run.world.primary() === backup));
    assert.deepEqual(finishRun(run), []);
  }
});

void test('both disks full at once: writes are rejected and never take effect, reads and pushes go on, and with room again so do writes', () => {
  for (const seed of seedRange(4)) {
    const run = createFixture(seed, 20);
    run.callers.start();
    run.world.runFor(1000);
    for (const store of run.world.stores) store.disk.condition = 'full';
    for (let turn = 0; turn < 4; turn += 1) {
      const write = run.world.apply(50 + turn);
      run.world.runUntil(9000, () => write.reply !== undefined);
      assert.ok(
        write.reply?.status === 503 || write.reply?.status === 504,
        String(write.reply?.status),
      );
    }
    run.world.runFor(3000);
    // A node that starts now still gets the configuration in force, from a primary that only reads.
    const edge = run.world.edges[0];
    edge?.kill();
    edge?.start();
    assert.ok(
      run.world.runUntil(4000, () => edge?.isReady === true),
      'pushes go on',
    );
    for (const store of run.world.stores) store.disk.recover();
    run.world.runFor(3000);
    const write = run.world.apply(60);
    assert.ok(run.world.runUntil(9000, () => write.reply?.status === 200));
    run.world.runFor(4000);
    assert.deepEqual(finishRun(run), []);
  }
});

void test('R6: origins that leave, or whose address another service takes, get nothing two seconds on, though registries and keepers fail meanwhile', () => {
  for (const seed of seedRange(4)) {
    const run = createFixture(seed, 80);
    run.callers.start();
    for (let turn = 0; turn < 5; turn += 1) {
      run.world.runFor(1500);
      const leaving = run.world.origins.find(
        (one) =>
          one.isAlive && one.state === 'up' && one.service === (turn % 2 === 0 ? clips : acts),
      );
      if (leaving === undefined) continue;
      run.world.addOrigin(leaving.service, leaving.slots);
      const registry = run.world.registries[turn % run.world.registries.length];
      run.faults.isolate(registry === undefined ? [] : [registry], 'both');
      leaving.leave(turn % 2 === 0 ? 'leaving' : 'gone');
      run.world.eventQueue.schedule(4000, () => run.world.network.heal());
      const keeper = run.world.serviceLeaderOf(leaving.service);
      if (turn === 2) keeper?.kill();
      run.world.eventQueue.schedule(1000, () => keeper?.start());
      run.world.eventQueue.schedule(2500, () => {
        leaving.crash();
        run.world.addOrigin(leaving.service === clips ? acts : clips, 4, 'r1', leaving.address);
      });
      run.world.runFor(3000);
    }
    run.world.network.heal();
    run.world.runFor(4000);
    assert.deepEqual(finishRun(run), []);
    assert.ok(run.world.origins.filter((one) => one.departureKnownAt !== undefined).length >= 4);
  }
});

void test('R7: purges by object, in storms, with an edge cut off and a shield frozen: nothing purged is served two seconds on', () => {
  for (const seed of seedRange(4)) {
    const run = createFixture(seed, 120);
    run.callers.start();
    run.world.runFor(3000);
    const edge = run.world.edges[0];
    const shield = run.world.serviceLeaderOf(clips);
    assert.ok(edge !== undefined && shield !== undefined);
    run.faults.isolate([edge], seed % 2 === 0 ? 'in' : 'both');
    shield.freeze();
    run.world.eventQueue.schedule(2600, () => shield.resume());
    for (let at = 0; at < 20; at += 1)
      for (const service of [clips, acts]) run.world.purge(...purgeOf(`/${service}/read/${at}`));
    // The cut-off edge is asked all the same, as by a client that was sent there before.
    for (let turn = 0; turn < 200; turn += 1)
      run.world.eventQueue.schedule(turn * 40, () => {
        run.callers.send({ edge, kind: 'read' });
      });
    run.world.runFor(8000);
    run.world.network.heal();
    run.world.runFor(5000);
    assert.deepEqual(finishRun(run), []);
    assert.ok(run.callers.requests.some((one) => one.result?.source === 'edge'));
  }
});

void test('R8: when most answers are lost, extra tries stay within a fifth of the traffic and sixty', () => {
  const run = createFixture(11, 150);
  for (const origin of run.world.origins) origin.lossProbability = 0.7;
  run.callers.start();
  run.world.runFor(12_000);
  run.world.serviceLeaderOf(clips)?.kill();
  run.world.runFor(8000);
  assert.deepEqual(finishRun(run), []);
  const tries = run.world.origins.flatMap((one) => one.attempts).length;
  assert.ok(
    tries >
      new Set(run.world.origins.flatMap((one) => one.attempts.map((row) => row.request))).size + 50,
    'extra tries were made at all',
  );
});

void test('R8: keepers that follow each other within seconds do not each spend a budget of their own', () => {
  for (const seed of seedRange(2)) {
    const run = createFixture(seed, 30, {
      shields: 7,
      services: [{ name: clips, origins: 4, slots: 30, perSecond: undefined }],
    });
    run.callers.start();
    run.world.runFor(11_000);
    // The first one spends what it has, in a few seconds.
    for (const origin of run.world.origins) origin.lossProbability = 0.9;
    run.world.runFor(3500);
    let keepers = 0;
    for (let turn = 0; turn < 9; turn += 1) {
      run.world.runFor(800);
      const keeper = run.world.serviceLeaderOf(clips);
      if (keeper === undefined) continue;
      keepers += 1;
      keeper.kill();
      run.world.eventQueue.schedule(300, () => keeper.start());
    }
    run.world.runFor(3000);
    assert.ok(keepers >= 6, `${keepers} keepers`);
    assert.deepEqual(finishRun(run), []);
  }
});

void test('R9: a flood stays under the ceiling, across a change of keeper', () => {
  const run = createFixture(12, 400, {
    services: [{ name: acts, origins: 4, slots: 30, perSecond: 80 }],
  });
  for (const kind of ['read', 'plain', 'act'])
    run.callers.floodedUntil.set(`/acts/${kind}/`, Infinity);
  run.callers.start();
  run.world.runFor(7000);
  const keeper = run.world.serviceLeaderOf(acts);
  keeper?.kill();
  run.world.runFor(7000);
  assert.deepEqual(finishRun(run), []);
  const arrivals = run.world.origins.flatMap((one) => one.arrivalTimes).length;
  assert.ok(
    run.world.origins.flatMap((one) => one.receiveTimes).length > arrivals,
    'health checks were sent too',
  );
  assert.ok(arrivals > 80 * 8, `${arrivals} requests let through: the ceiling is used`);
});

void test('R10: a bad release is found out, through the loss of its keeper, and its verdict outlives a full loss; a good one earns its traffic', () => {
  for (const seed of seedRange(3)) {
    const run = createFixture(seed, 120);
    run.callers.start();
    run.world.runFor(3000);
    const bad = run.world.addOrigin(clips, 8, 'r2');
    bad.failureProbability = 0.6;
    run.ruleChecker.badReleases.add(toRelease('r2'));
    const good = run.world.addOrigin(acts, 4, 'r3');
    run.world.runFor(600);
    const keeper = run.world.serviceLeaderOf(clips);
    keeper?.kill();
    run.world.eventQueue.schedule(1500, () => keeper?.start());
    run.world.runFor(20_000);
    const verdict = (release: string): string | undefined =>
      [...(run.world.primary()?.state?.control.canaryResults.values() ?? [])].find(
        (one) => one.release === release,
      )?.state;
    assert.equal(verdict('r2'), 'bad');
    assert.equal(verdict('r3'), 'good');
    assert.ok(good.arrivalTimes.length > 50);
    // A release that goes bad after it earned its traffic is judged as well.
    good.failureProbability = 0.7;
    run.world.runFor(12_000);
    assert.equal(verdict('r3'), 'bad');
    const fiftieth = good.failureTimes[49];
    assert.ok(fiftieth === undefined || good.arrivalTimes.every((at) => at <= fiftieth + 5000));
    for (const actor of run.world.allProcesses) {
      actor.kill();
      run.world.eventQueue.schedule(200, () => actor.start());
    }
    run.world.runFor(10_000);
    assert.equal(verdict('r2'), 'bad');
    const before = bad.arrivalTimes.length;
    run.world.runFor(4000);
    assert.equal(bad.arrivalTimes.length, before);
    assert.deepEqual(finishRun(run), []);
  }
});

void test('R11: edges and shields stopped in turn under load: every request that was taken gets its answer', () => {
  for (const seed of seedRange(3)) {
    const run = createFixture(seed, 100);
    run.callers.start();
    for (const proxy of run.world.proxies) {
      run.world.runFor(1200);
      stopProxy(run.faults, proxy);
      run.world.runFor(1800);
    }
    run.world.runFor(3000);
    assert.deepEqual(finishRun(run), []);
    const all = countOutcomes(run.callers);
    assert.equal(all.get('silent') ?? 0, 0, JSON.stringify([...all]));
    assert.ok(
      (all.get('result') ?? 0) > 0.99 * run.callers.requests.length,
      JSON.stringify([...all]),
    );
  }
});

void test('all registries and shields killed at once while the edges live on: no memory of an older epoch keeps a service away', () => {
  for (const seed of seedRange(4)) {
    const run = createFixture(seed, 40);
    run.callers.start();
    run.world.runFor(1000);
    // Keepers move a few times, so that the edges remember high epochs.
    for (let turn = 0; turn < 3; turn += 1) {
      for (const service of [clips, acts]) {
        const keeper = run.world.serviceLeaderOf(service);
        keeper?.kill();
        run.world.eventQueue.schedule(500, () => keeper?.start());
      }
      run.world.runFor(3500);
    }
    for (const actor of [...run.world.registries, ...run.world.shields]) {
      actor.kill();
      run.world.eventQueue.schedule(run.world.random.uniform(10, 600), () => actor.start());
    }
    run.world.runFor(8000);
    servesOn(run);
  }
});

void test('every registry is replaced one after the other, the seeds among them: the fleet goes on, and a primary is elected by the new voters alone', () => {
  for (const seed of seedRange(2)) {
    const run = createFixture(seed, 30);
    run.callers.start();
    const old = [...run.world.registries];
    for (const [at, gone] of old.entries()) {
      const fresh = run.world.addRegistry(`new-${at + 1}`, at + 1);
      run.world.runFor(1500);
      for (const change of [
        { add: fresh.node, remove: undefined },
        { add: undefined, remove: gone.node },
      ]) {
        let status = 0;
        for (let turn = 0; turn < 5 && status !== 200; turn += 1) {
          fresh.handleRequest(
            {
              verb: 'electorate',
              id: toCommandId(`swap-${at}-${change.add ?? 'x'}-${turn}`),
              ...change,
            },
            (told) => {
              status = told.status;
            },
          );
          run.world.runUntil(4500, () => status !== 0);
          if (status !== 200) status = 0;
        }
        assert.equal(status, 200);
        run.world.runFor(600);
      }
      run.world.removeRegistry(gone);
      run.world.runFor(1200);
    }
    const seats =
      run.world.primary()?.state?.metadata?.electorate.members.map((one) => one.node) ?? [];
    assert.deepEqual([...seats].sort(), run.world.registries.map((one) => one.node).sort());
    run.world.primary()?.kill();
    run.world.runFor(2500);
    const write = run.world.apply(8);
    assert.ok(run.world.runUntil(5000, () => write.reply?.status === 200));
    // A node that starts now finds the fleet by the new seeds.
    const edge = run.world.edges[0];
    edge?.kill();
    edge?.start();
    assert.ok(run.world.runUntil(4000, () => edge?.isReady === true));
    servesOn(run);
  }
});

void test('an area lost whole, with a store, a shield, an edge and their registries: the others serve and write on', () => {
  for (const seed of seedRange(3)) {
    const run = createFixture(seed, 50);
    run.callers.start();
    run.world.runFor(1500);
    const lost = run.world.allProcesses.filter((one) => one.zone === 'two');
    assert.ok(
      lost.some((one) => one.node.startsWith('store')) &&
        lost.some((one) => one.node.startsWith('shield')),
    );
    for (const actor of lost) actor.kill();
    run.world.runFor(2500);
    const write = run.world.apply(6);
    assert.ok(run.world.runUntil(5000, () => write.reply?.status === 200));
    const from = run.world.eventQueue.now;
    run.world.runFor(2500);
    const during = countOutcomes(run.callers, from, run.world.eventQueue.now - 1000);
    assert.deepEqual([...during.keys()], ['result']);
    for (const actor of lost) actor.start();
    run.world.runFor(6000);
    assert.equal(run.world.primary()?.state?.metadata?.inSyncSet.length, 2);
    assert.deepEqual(finishRun(run), []);
  }
});

void test('a core split each way: the side without a majority stops in time, the other serves; whole again it all comes back', () => {
  for (const seed of seedRange(4)) {
    const run = createFixture(seed, 60);
    run.callers.start();
    run.world.runFor(1500);
    const side = run.world.registries
      .filter((_, at) => (at + seed) % 3 === 0)
      .flatMap((one) => run.faults.processesOnMachineOf(one));
    run.faults.isolate(side, 'both');
    run.world.runFor(3000);
    const from = run.world.eventQueue.now;
    run.world.runFor(3000);
    const during = countOutcomes(run.callers, from, run.world.eventQueue.now - 1000);
    assert.ok(
      (during.get('result') ?? 0) > 0.8 * [...during.values()].reduce((sum, one) => sum + one, 0),
      JSON.stringify([...during]),
    );
    run.world.network.heal();
    run.world.runFor(6000);
    assert.deepEqual(finishRun(run), []);
  }
});

void test('a class that floods does not take the promise of another, and borrowed slots come back', () => {
  const run = createFixture(21, 30, {
    services: [{ name: clips, origins: 2, slots: 10, perSecond: undefined }],
  });
  run.callers.start();
  run.world.runFor(1000);
  const from = run.world.eventQueue.now;
  // Far more bulk than the origins can take, for four seconds.
  run.callers.floodedUntil.set('/clips/plain/', Infinity);
  for (let at = 0; at < 6000; at += 1)
    run.world.eventQueue.schedule(at * 0.66, () => {
      run.callers.send({ kind: 'plain', service: 'clips', isFlood: true });
    });
  run.world.runFor(7000);
  const acting = run.callers.requests.filter(
    (one) => one.isUnsafe && one.sentAt >= from && one.sentAt < from + 4000,
  );
  const times = acting
    .flatMap((one) =>
      one.result?.kind === 'result' && one.repliedAt !== undefined
        ? [one.repliedAt - one.sentAt]
        : [],
    )
    .sort((one, two) => one - two);
  assert.ok(
    times.length === acting.length && times.length > 10,
    `${times.length} of ${acting.length} writes got a result`,
  );
  assert.ok(
    (times[Math.floor(times.length * 0.99)] ?? Infinity) < 400,
    `the promise is 400 ms: ${times.slice(-3).map(Math.round).join(', ')}`,
  );
  assert.ok(
    (countOutcomes(run.callers, from).get('rejected') ?? 0) > 1000,
    'the flood was rejected',
  );
  assert.deepEqual(finishRun(run), []);
});

void test('R3: two legs of one request that both stream never mix on their way to the caller', () => {
  const run = createFixture(41, 20, {
    services: [{ name: clips, origins: 4, slots: 40, perSecond: undefined, hedgeMs: 5 }],
  });
  run.callers.start();
  run.world.runFor(3000);
  // So slow that second attempts go out while the first have not begun to answer, and often overtake them.
  for (const origin of run.world.origins) origin.workMs = 60;
  for (let at = 0; at < 300; at += 1)
    run.world.eventQueue.schedule(at * 20, () => {
      run.callers.send({ kind: 'plain', service: 'clips', object: 4, isFlood: true });
    });
  run.world.runFor(8000);
  assert.deepEqual(finishRun(run), []);
  const streamed = run.callers.requests.filter((one) => one.result?.source === 'stream').length;
  const tries = run.world.origins.flatMap((one) => one.attempts);
  assert.ok(
    streamed > 200 && tries.length > new Set(tries.map((one) => one.request)).size + 20,
    `${streamed} streamed, second legs among ${tries.length}`,
  );
  assert.equal(run.callers.requests.filter((one) => one.result?.kind === 'broken').length, 0);
});

void test('R7: a result fetched before a purge is not told two seconds after it, nor one past its lifetime, by whoever was slow or slept', () => {
  for (const seed of seedRange(3)) {
    const run = createFixture(seed, 120);
    run.callers.start();
    run.world.runFor(3000);
    const sleeper =
      seed % 3 === 0
        ? undefined
        : seed % 3 === 1
          ? run.world.edges[0]
          : run.world.serviceLeaderOf(clips);
    for (const origin of run.world.origins)
      origin.extraLatencyMs = sleeper === undefined ? 2400 : 300;
    run.world.runFor(sleeper === undefined ? 300 : 1500);
    for (let at = 0; at < 20; at += 1)
      for (const service of [clips, acts]) run.world.purge(...purgeOf(`/${service}/read/${at}`));
    sleeper?.freeze();
    run.world.eventQueue.schedule(4500, () => sleeper?.resume());
    run.world.runFor(2000);
    for (const origin of run.world.origins) origin.extraLatencyMs = 0;
    run.world.runFor(6000);
    assert.deepEqual(finishRun(run), []);
    assert.ok((run.world.coverage.counts.get('R7: a purge raced a fetch') ?? 0) > 0);
  }
});

void test('R2: the backup dies amid a write and the disk fills before the primary goes on alone: what already lasts is never told as refused', () => {
  for (const seed of seedRange(4)) {
    const run = createFixture(seed, 10);
    run.callers.start();
    run.world.runFor(1500);
    const primary = run.world.primary();
    const backup = run.world.stores.find((one) => one !== primary);
    assert.ok(primary !== undefined && backup !== undefined);
    backup.kill();
    const write = run.world.apply(70);
    assert.ok(run.world.runUntil(3000, () => primary.writePhase === 'replicating'));
    primary.disk.condition = 'full';
    run.world.runUntil(9000, () => write.reply !== undefined);
    primary.kill();
    primary.disk.recover();
    primary.start();
    run.world.eventQueue.schedule(3000, () => backup.start());
    run.world.runFor(9000);
    const kept = run.world.primary()?.hasResultOf(write.id) === true;
    assert.ok(
      write.reply?.status === 504 || !kept,
      `told ${write.reply?.status ?? 0}, in the store: ${kept}`,
    );
    assert.deepEqual(finishRun(run), []);
  }
});

void test('lost write: a store that was left out never serves what it has, neither while voters remember nor when all of them forgot', () => {
  for (const forget of [false, true]) {
    for (const seed of seedRange(2)) {
      const run = createFixture(seed, 10);
      run.callers.start();
      run.world.runFor(1500);
      const primary = run.world.primary();
      const backup = run.world.stores.find((one) => one !== primary);
      assert.ok(primary !== undefined && backup !== undefined);
      // The backup hears nothing of being left out.
      if (forget) backup.kill();
      else run.faults.isolate([backup], 'both');
      run.world.runFor(300);
      const write = run.world.apply(80);
      assert.ok(run.world.runUntil(4000, () => write.reply?.status === 200));
      primary.kill();
      if (forget) for (const one of run.world.registries) one.kill();
      run.world.network.heal();
      run.world.runFor(200);
      for (const one of run.world.registries) one.start();
      backup.start();
      for (let turn = 0; turn < 80; turn += 1) {
        run.world.runFor(100);
        assert.equal(run.world.primary(), undefined, 'nobody serves without the last write');
      }
      primary.start();
      assert.ok(run.world.runUntil(6000, () => run.world.primary() === primary));
      run.world.runFor(6000);
      assert.equal(primary.state?.control.configuration?.offer.generation, write.reply?.generation);
      assert.deepEqual(finishRun(run), []);
    }
  }
});

void test('a description is taken whole or refused whole, and a call that is repeated is answered as before and done once', () => {
  for (const seed of seedRange(3)) {
    const run = createFixture(seed, 10);
    run.callers.start();
    run.world.runFor(1000);
    const before = run.world.primary()?.state?.control.configuration?.offer;
    for (const mark of [10, 11]) {
      const bad = run.world.apply(mark, undefined, 'invalid');
      assert.ok(run.world.runUntil(4000, () => bad.reply !== undefined));
      assert.equal(bad.reply?.status, 422);
    }
    assert.equal(run.world.primary()?.state?.control.configuration?.offer, before);
    const first = run.world.apply(12);
    assert.ok(run.world.runUntil(4000, () => first.reply !== undefined));
    // Asked twice at once, at two registries.
    const one = run.world.apply(14);
    const twin = run.world.apply(14, undefined, 'plain', one);
    assert.ok(run.world.runUntil(4000, () => one.reply !== undefined && twin.reply !== undefined));
    assert.equal(one.reply?.generation, twin.reply?.generation);
    run.world.writes.splice(run.world.writes.indexOf(twin), 1);
    assert.equal(
      run.world.primary()?.state?.control.configuration?.offer.generation,
      one.reply?.generation,
    );
    // The operator heard nothing and asks again, after another one was taken, and after the primary moved.
    const other = run.world.apply(13);
    assert.ok(run.world.runUntil(4000, () => other.reply !== undefined));
    run.world.primary()?.kill();
    assert.ok(run.world.runUntil(4000, () => run.world.primary() !== undefined));
    const again = run.world.apply(12, undefined, 'plain', first);
    assert.ok(run.world.runUntil(8000, () => again.reply !== undefined));
    assert.deepEqual(
      [again.reply?.status, again.reply?.generation],
      [200, first.reply?.generation],
    );
    assert.equal(
      run.world.primary()?.state?.control.configuration?.offer.generation,
      other.reply?.generation,
    );
    run.world.writes.splice(run.world.writes.indexOf(again), 1);
    for (const store of run.world.stores) store.start();
    run.world.runFor(5000);
    assert.deepEqual(finishRun(run), []);
  }
});
