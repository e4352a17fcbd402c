/** Single failures of each kind and their effect on callers and operators. */

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

/** Asserts that every request from now on gets a result and that no rule is violated by the end of the run. */
const assertServing = (run: Fixture): void => {
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

void test('R1, R2: no write runs twice and no rejected request runs when origins lose responses after the work', () => {
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
    const outcomes = countOutcomes(run.callers);
    assert.ok(
      (outcomes.get('lost') ?? 0) > 0 && (outcomes.get('result') ?? 0) > 100,
      JSON.stringify([...outcomes]),
    );
  }
});

void test('R1, R2: writes run at most once while service leaders are killed, frozen and disconnected', () => {
  for (const seed of seedRange(4)) {
    const run = createFixture(seed, 80);
    run.callers.start();
    for (let round = 0; round < 6; round += 1) {
      run.world.runFor(1700);
      const serviceLeader = run.world.serviceLeaderOf(round % 2 === 0 ? acts : clips);
      if (serviceLeader === undefined) continue;
      if (round % 3 === 0) {
        serviceLeader.kill();
        run.world.eventQueue.schedule(500, () => serviceLeader.start());
      } else if (round % 3 === 1) {
        serviceLeader.freeze();
        run.world.eventQueue.schedule(2500, () => serviceLeader.resume());
      } else {
        run.faults.isolate(run.faults.processesOnMachineOf(serviceLeader), 'both');
        run.world.eventQueue.schedule(1500, () => run.world.network.heal());
      }
    }
    run.world.runFor(4000);
    assert.deepEqual(finishRun(run), []);
  }
});

void test('R4, R5: an accepted configuration takes effect everywhere although the primary is killed at any later moment', () => {
  for (const delayMs of [0, 1, 3, 6, 10, 20, 40, 80, 200, 500]) {
    const run = createFixture(300 + delayMs, 20);
    run.callers.start();
    run.world.runFor(1500);
    const write = run.world.apply(77);
    assert.ok(run.world.runUntil(1000, () => write.reply !== undefined));
    run.world.runFor(delayMs);
    const primary = run.world.primary();
    assert.ok(primary !== undefined);
    primary.kill();
    run.world.eventQueue.schedule(4000, () => primary.start());
    run.world.runFor(8000);
    assert.deepEqual(finishRun(run), []);
    assert.equal(write.reply?.status, 200);
  }
});

void test('of two operators that change the same base generation through different registries, one is accepted and the other rejected with the active generation', () => {
  for (const seed of seedRange(6)) {
    const run = createFixture(seed, 5);
    const base = run.world.primary()?.state?.control.configuration?.offer.generation;
    const writes = [run.world.apply(10, base), run.world.apply(11, base)];
    assert.ok(run.world.runUntil(2000, () => writes.every((write) => write.reply !== undefined)));
    assert.deepEqual(writes.map((write) => write.reply?.status).sort(), [200, 409]);
    const [accepted, rejected] = writes[0]?.reply?.status === 200 ? writes : [writes[1], writes[0]];
    assert.equal(rejected?.reply?.generation, accepted?.reply?.generation);
    run.world.runFor(4000);
    assert.deepEqual(finishRun(run), []);
  }
});

void test('R12: a fleet whose processes are all killed at once serves within 15 s and loses no accepted write, purge or canary result', () => {
  for (const seed of seedRange(4)) {
    const run = createFixture(seed, 40);
    run.callers.start();
    run.world.runFor(2000);
    const write = run.world.apply(5);
    const [paths, targets] = purgeOf('/clips/read/3');
    const purge = run.world.purge(paths, targets);
    assert.ok(
      run.world.runUntil(2000, () => write.reply !== undefined && purge.reply !== undefined),
    );
    const canaryResultCount = run.world.primary()?.state?.control.canaryResults.size ?? 0;
    assert.ok(canaryResultCount >= 2);
    for (const process of run.world.allProcesses) {
      process.kill();
      run.world.eventQueue.schedule(run.world.random.uniform(10, 1000), () => process.start());
    }
    const restartedAt = run.world.eventQueue.now;
    assert.ok(
      run.world.runUntil(
        15_000,
        () =>
          run.world.edges.every((edge) => edge.isReady) &&
          [clips, acts].every((service) => run.world.serviceLeaderOf(service) !== undefined),
      ),
    );
    run.world.runFor(Math.max(0, 15_000 - (run.world.eventQueue.now - restartedAt)));
    const from = run.world.eventQueue.now;
    run.world.runFor(3000);
    assert.deepEqual(finishRun(run), []);
    const outcomes = countOutcomes(run.callers, from);
    assert.deepEqual([...outcomes.keys()], ['result']);
    const control = run.world.primary()?.state?.control;
    assert.ok(
      control !== undefined &&
        control.canaryResults.size >= canaryResultCount &&
        control.purges.length === 1,
    );
  }
});

void test('no confirmed write is lost and writes go on while each store in turn has a wiped, full, stalled or torn disk', () => {
  for (const seed of seedRange(2)) {
    const run = createFixture(seed, 10);
    let marker = 100;
    for (const diskFault of ['wipe', 'full', 'stalled', 'torn'] as const) {
      for (const store of run.world.stores) {
        if (diskFault === 'wipe' || diskFault === 'torn') {
          store.kill();
          if (diskFault === 'wipe') store.disk.wipe();
          else store.disk.isTorn = true;
          run.world.eventQueue.schedule(800, () => store.start());
        } else store.disk.condition = diskFault;
        // Writes are accepted again within a few seconds, while the fault persists.
        let isAccepted = false;
        for (let round = 0; round < 8 && !isAccepted; round += 1) {
          marker += 1;
          const write = run.world.apply(marker);
          run.world.runUntil(9000, () => write.reply !== undefined);
          isAccepted = write.reply?.status === 200;
        }
        assert.ok(isAccepted, `${diskFault} at ${store.node}`);
        store.disk.isTorn = false;
        store.disk.recover();
        assert.ok(
          run.world.runUntil(
            15_000,
            () => run.world.primary()?.state?.metadata?.inSyncSet.length === 2,
          ),
          `${diskFault} at ${store.node}: in sync again`,
        );
      }
    }
    assert.deepEqual(finishRun(run), []);
  }
});

void test('a backup that restarts with an empty or torn disk is resynced without any new write', () => {
  for (const diskFault of ['wipe', 'torn'] as const) {
    const run = createFixture(31, 5);
    run.world.runFor(3000);
    const backup = run.world.stores.find((store) => store !== run.world.primary());
    assert.ok(backup !== undefined);
    const entries = backup.state?.table.size ?? 0;
    backup.kill();
    if (diskFault === 'wipe') backup.disk.wipe();
    else backup.disk.isTorn = true;
    backup.start();
    run.world.runFor(4000);
    assert.ok(
      entries > 5 && (backup.state?.table.size ?? 0) >= entries,
      `${backup.state?.table.size ?? 0} of ${entries} entries`,
    );
    assert.equal(run.world.primary()?.state?.metadata?.inSyncSet.length, 2);
    // The resynced backup can take over.
    run.world.primary()?.kill();
    assert.ok(run.world.runUntil(4000, () => run.world.primary() === backup));
    assert.deepEqual(finishRun(run), []);
  }
});

void test('with both disks full writes are rejected without effect while configurations are still pushed, and writes resume once there is space', () => {
  for (const seed of seedRange(4)) {
    const run = createFixture(seed, 20);
    run.callers.start();
    run.world.runFor(1000);
    for (const store of run.world.stores) store.disk.condition = 'full';
    for (let round = 0; round < 4; round += 1) {
      const write = run.world.apply(50 + round);
      run.world.runUntil(9000, () => write.reply !== undefined);
      assert.ok(
        write.reply?.status === 503 || write.reply?.status === 504,
        String(write.reply?.status),
      );
    }
    run.world.runFor(3000);
    // A restarted node still receives the active configuration from a primary that can't write.
    const edge = run.world.edges[0];
    edge?.kill();
    edge?.start();
    assert.ok(
      run.world.runUntil(4000, () => edge?.isReady === true),
      'the edge receives the configuration',
    );
    for (const store of run.world.stores) store.disk.recover();
    run.world.runFor(3000);
    const write = run.world.apply(60);
    assert.ok(run.world.runUntil(9000, () => write.reply?.status === 200));
    run.world.runFor(4000);
    assert.deepEqual(finishRun(run), []);
  }
});

void test('R6: origins that left, or whose address another service reuses, receive no requests after two seconds, although registries and service leaders fail meanwhile', () => {
  for (const seed of seedRange(4)) {
    const run = createFixture(seed, 80);
    run.callers.start();
    for (let round = 0; round < 5; round += 1) {
      run.world.runFor(1500);
      const leaving = run.world.origins.find(
        (origin) =>
          origin.isAlive &&
          origin.state === 'up' &&
          origin.service === (round % 2 === 0 ? clips : acts),
      );
      if (leaving === undefined) continue;
      run.world.addOrigin(leaving.service, leaving.slots);
      const registry = run.world.registries[round % run.world.registries.length];
      run.faults.isolate(registry === undefined ? [] : [registry], 'both');
      leaving.leave(round % 2 === 0 ? 'leaving' : 'gone');
      run.world.eventQueue.schedule(4000, () => run.world.network.heal());
      const serviceLeader = run.world.serviceLeaderOf(leaving.service);
      if (round === 2) serviceLeader?.kill();
      run.world.eventQueue.schedule(1000, () => serviceLeader?.start());
      run.world.eventQueue.schedule(2500, () => {
        leaving.crash();
        run.world.addOrigin(leaving.service === clips ? acts : clips, 4, 'r1', leaving.address);
      });
      run.world.runFor(3000);
    }
    run.world.network.heal();
    run.world.runFor(4000);
    assert.deepEqual(finishRun(run), []);
    assert.ok(
      run.world.origins.filter((origin) => origin.departureKnownAt !== undefined).length >= 4,
    );
  }
});

void test('R7: purged objects are not served after two seconds, with many purges, a disconnected edge and a frozen shield', () => {
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
    for (let index = 0; index < 20; index += 1)
      for (const service of [clips, acts]) run.world.purge(...purgeOf(`/${service}/read/${index}`));
    // Clients that were routed to the disconnected edge before still send requests to it.
    for (let round = 0; round < 200; round += 1)
      run.world.eventQueue.schedule(round * 40, () => {
        run.callers.send({ edge, kind: 'read' });
      });
    run.world.runFor(8000);
    run.world.network.heal();
    run.world.runFor(5000);
    assert.deepEqual(finishRun(run), []);
    assert.ok(run.callers.requests.some((request) => request.result?.source === 'edge'));
  }
});

void test('R8: extra attempts stay within a fifth of the traffic plus sixty when most responses are lost', () => {
  const run = createFixture(11, 150);
  for (const origin of run.world.origins) origin.lossProbability = 0.7;
  run.callers.start();
  run.world.runFor(12_000);
  run.world.serviceLeaderOf(clips)?.kill();
  run.world.runFor(8000);
  assert.deepEqual(finishRun(run), []);
  const attemptCount = run.world.origins.flatMap((origin) => origin.attempts).length;
  assert.ok(
    attemptCount >
      new Set(
        run.world.origins.flatMap((origin) => origin.attempts.map((attempt) => attempt.request)),
      ).size +
        50,
    'more than 50 extra attempts were made',
  );
});

void test('R8: service leaders that succeed each other within seconds share one retry budget', () => {
  for (const seed of seedRange(2)) {
    const run = createFixture(seed, 30, {
      shields: 7,
      services: [{ name: clips, origins: 4, slots: 30, perSecond: undefined }],
    });
    run.callers.start();
    run.world.runFor(11_000);
    // The first leader spends its budget within a few seconds.
    for (const origin of run.world.origins) origin.lossProbability = 0.9;
    run.world.runFor(3500);
    let leaderCount = 0;
    for (let round = 0; round < 9; round += 1) {
      run.world.runFor(800);
      const serviceLeader = run.world.serviceLeaderOf(clips);
      if (serviceLeader === undefined) continue;
      leaderCount += 1;
      serviceLeader.kill();
      run.world.eventQueue.schedule(300, () => serviceLeader.start());
    }
    run.world.runFor(3000);
    assert.ok(leaderCount >= 6, `${leaderCount} service leaders killed`);
    assert.deepEqual(finishRun(run), []);
  }
});

void test('R9: a flood stays within the rate limit across a change of the service leader', () => {
  const run = createFixture(12, 400, {
    services: [{ name: acts, origins: 4, slots: 30, perSecond: 80 }],
  });
  for (const kind of ['read', 'plain', 'act'])
    run.callers.floodedUntil.set(`/acts/${kind}/`, Infinity);
  run.callers.start();
  run.world.runFor(7000);
  const serviceLeader = run.world.serviceLeaderOf(acts);
  serviceLeader?.kill();
  run.world.runFor(7000);
  assert.deepEqual(finishRun(run), []);
  const arrivals = run.world.origins.flatMap((origin) => origin.arrivalTimes).length;
  assert.ok(
    run.world.origins.flatMap((origin) => origin.receiveTimes).length > arrivals,
    'health checks reach the origins in addition to requests',
  );
  assert.ok(arrivals > 80 * 8, `only ${arrivals} requests admitted: the rate limit is not used up`);
});

void test('R10: a bad release is detected despite the loss of its service leader and stays bad after a full restart, and a good one gets its traffic', () => {
  for (const seed of seedRange(3)) {
    const run = createFixture(seed, 120);
    run.callers.start();
    run.world.runFor(3000);
    const badOrigin = run.world.addOrigin(clips, 8, 'r2');
    badOrigin.failureProbability = 0.6;
    run.ruleChecker.badReleases.add(toRelease('r2'));
    const goodOrigin = run.world.addOrigin(acts, 4, 'r3');
    run.world.runFor(600);
    const serviceLeader = run.world.serviceLeaderOf(clips);
    serviceLeader?.kill();
    run.world.eventQueue.schedule(1500, () => serviceLeader?.start());
    run.world.runFor(20_000);
    const canaryState = (release: string): string | undefined =>
      [...(run.world.primary()?.state?.control.canaryResults.values() ?? [])].find(
        (result) => result.release === release,
      )?.state;
    assert.equal(canaryState('r2'), 'bad');
    assert.equal(canaryState('r3'), 'good');
    assert.ok(goodOrigin.arrivalTimes.length > 50);
    // A release that starts to fail after its canary passed is detected too.
    goodOrigin.failureProbability = 0.7;
    run.world.runFor(12_000);
    assert.equal(canaryState('r3'), 'bad');
    const fiftiethFailureAt = goodOrigin.failureTimes[49];
    assert.ok(
      fiftiethFailureAt === undefined ||
        goodOrigin.arrivalTimes.every((arrivedAt) => arrivedAt <= fiftiethFailureAt + 5000),
    );
    for (const process of run.world.allProcesses) {
      process.kill();
      run.world.eventQueue.schedule(200, () => process.start());
    }
    run.world.runFor(10_000);
    assert.equal(canaryState('r2'), 'bad');
    const before = badOrigin.arrivalTimes.length;
    run.world.runFor(4000);
    assert.equal(badOrigin.arrivalTimes.length, before);
    assert.deepEqual(finishRun(run), []);
  }
});

void test('R11: every accepted request gets a response while edges and shields are stopped in turn under load', () => {
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
    const outcomes = countOutcomes(run.callers);
    assert.equal(outcomes.get('silent') ?? 0, 0, JSON.stringify([...outcomes]));
    assert.ok(
      (outcomes.get('result') ?? 0) > 0.99 * run.callers.requests.length,
      JSON.stringify([...outcomes]),
    );
  }
});

void test('services recover after all registries and shields are killed at once, although running edges remember higher epochs', () => {
  for (const seed of seedRange(4)) {
    const run = createFixture(seed, 40);
    run.callers.start();
    run.world.runFor(1000);
    // Service leaders change a few times, so that the edges remember high epochs.
    for (let round = 0; round < 3; round += 1) {
      for (const service of [clips, acts]) {
        const serviceLeader = run.world.serviceLeaderOf(service);
        serviceLeader?.kill();
        run.world.eventQueue.schedule(500, () => serviceLeader?.start());
      }
      run.world.runFor(3500);
    }
    for (const process of [...run.world.registries, ...run.world.shields]) {
      process.kill();
      run.world.eventQueue.schedule(run.world.random.uniform(10, 600), () => process.start());
    }
    run.world.runFor(8000);
    assertServing(run);
  }
});

void test('the fleet goes on while all registries are replaced one by one, seeds included, and the new voters alone elect a primary', () => {
  for (const seed of seedRange(2)) {
    const run = createFixture(seed, 30);
    run.callers.start();
    const oldRegistries = [...run.world.registries];
    for (const [index, removed] of oldRegistries.entries()) {
      const added = run.world.addRegistry(`new-${index + 1}`, index + 1);
      run.world.runFor(1500);
      for (const change of [
        { add: added.node, remove: undefined },
        { add: undefined, remove: removed.node },
      ]) {
        let status = 0;
        for (let round = 0; round < 5 && status !== 200; round += 1) {
          added.handleRequest(
            {
              verb: 'electorate',
              id: toCommandId(`swap-${index}-${change.add ?? 'x'}-${round}`),
              ...change,
            },
            (reply) => {
              status = reply.status;
            },
          );
          run.world.runUntil(4500, () => status !== 0);
          if (status !== 200) status = 0;
        }
        assert.equal(status, 200);
        run.world.runFor(600);
      }
      run.world.removeRegistry(removed);
      run.world.runFor(1200);
    }
    const voters =
      run.world.primary()?.state?.metadata?.electorate.members.map((member) => member.node) ?? [];
    assert.deepEqual(
      [...voters].sort(),
      run.world.registries.map((registry) => registry.node).sort(),
    );
    run.world.primary()?.kill();
    run.world.runFor(2500);
    const write = run.world.apply(8);
    assert.ok(run.world.runUntil(5000, () => write.reply?.status === 200));
    // A restarted node finds the fleet through the new seeds.
    const edge = run.world.edges[0];
    edge?.kill();
    edge?.start();
    assert.ok(run.world.runUntil(4000, () => edge?.isReady === true));
    assertServing(run);
  }
});

void test('the other zones serve and accept writes after a zone with a store, a shield, an edge and their registries is lost', () => {
  for (const seed of seedRange(3)) {
    const run = createFixture(seed, 50);
    run.callers.start();
    run.world.runFor(1500);
    const zoneProcesses = run.world.allProcesses.filter((process) => process.zone === 'two');
    assert.ok(
      zoneProcesses.some((process) => process.node.startsWith('store')) &&
        zoneProcesses.some((process) => process.node.startsWith('shield')),
    );
    for (const process of zoneProcesses) process.kill();
    run.world.runFor(2500);
    const write = run.world.apply(6);
    assert.ok(run.world.runUntil(5000, () => write.reply?.status === 200));
    const from = run.world.eventQueue.now;
    run.world.runFor(2500);
    const outcomes = countOutcomes(run.callers, from, run.world.eventQueue.now - 1000);
    assert.deepEqual([...outcomes.keys()], ['result']);
    for (const process of zoneProcesses) process.start();
    run.world.runFor(6000);
    assert.equal(run.world.primary()?.state?.metadata?.inSyncSet.length, 2);
    assert.deepEqual(finishRun(run), []);
  }
});

void test('in a network partition of the core the side without a majority stops in time, the other serves, and the fleet recovers once it heals', () => {
  for (const seed of seedRange(4)) {
    const run = createFixture(seed, 60);
    run.callers.start();
    run.world.runFor(1500);
    const isolated = run.world.registries
      .filter((_, index) => (index + seed) % 3 === 0)
      .flatMap((registry) => run.faults.processesOnMachineOf(registry));
    run.faults.isolate(isolated, 'both');
    run.world.runFor(3000);
    const from = run.world.eventQueue.now;
    run.world.runFor(3000);
    const outcomes = countOutcomes(run.callers, from, run.world.eventQueue.now - 1000);
    assert.ok(
      (outcomes.get('result') ?? 0) >
        0.8 * [...outcomes.values()].reduce((sum, count) => sum + count, 0),
      JSON.stringify([...outcomes]),
    );
    run.world.network.heal();
    run.world.runFor(6000);
    assert.deepEqual(finishRun(run), []);
  }
});

void test('a flood of one class does not raise the latency of another above its guarantee, and borrowed slots are returned', () => {
  const run = createFixture(21, 30, {
    services: [{ name: clips, origins: 2, slots: 10, perSecond: undefined }],
  });
  run.callers.start();
  run.world.runFor(1000);
  const from = run.world.eventQueue.now;
  // For four seconds, far more bulk requests than the origins have capacity for.
  run.callers.floodedUntil.set('/clips/plain/', Infinity);
  for (let index = 0; index < 6000; index += 1)
    run.world.eventQueue.schedule(index * 0.66, () => {
      run.callers.send({ kind: 'plain', service: 'clips', isFlood: true });
    });
  run.world.runFor(7000);
  const unsafeRequests = run.callers.requests.filter(
    (request) => request.isUnsafe && request.sentAt >= from && request.sentAt < from + 4000,
  );
  const latenciesMs = unsafeRequests
    .flatMap((request) =>
      request.result?.kind === 'result' && request.repliedAt !== undefined
        ? [request.repliedAt - request.sentAt]
        : [],
    )
    .sort((left, right) => left - right);
  assert.ok(
    latenciesMs.length === unsafeRequests.length && latenciesMs.length > 10,
    `${latenciesMs.length} of ${unsafeRequests.length} writes got a result`,
  );
  assert.ok(
    (latenciesMs[Math.floor(latenciesMs.length * 0.99)] ?? Infinity) < 400,
    `p99 latency is not below 400 ms; the slowest: ${latenciesMs.slice(-3).map(Math.round).join(', ')}`,
  );
  assert.ok(
    (countOutcomes(run.callers, from).get('rejected') ?? 0) > 1000,
    'more than 1,000 requests of the flood are rejected',
  );
  assert.deepEqual(finishRun(run), []);
});

void test('R3: the streams of two attempts of one request are never mixed in the response', () => {
  const run = createFixture(41, 20, {
    services: [{ name: clips, origins: 4, slots: 40, perSecond: undefined, hedgeMs: 5 }],
  });
  run.callers.start();
  run.world.runFor(3000);
  // Slow enough that hedges are sent before the first attempt responds, and often overtake it.
  for (const origin of run.world.origins) origin.workMs = 60;
  for (let index = 0; index < 300; index += 1)
    run.world.eventQueue.schedule(index * 20, () => {
      run.callers.send({ kind: 'plain', service: 'clips', object: 4, isFlood: true });
    });
  run.world.runFor(8000);
  assert.deepEqual(finishRun(run), []);
  const streamedCount = run.callers.requests.filter(
    (request) => request.result?.source === 'stream',
  ).length;
  const attempts = run.world.origins.flatMap((origin) => origin.attempts);
  assert.ok(
    streamedCount > 200 &&
      attempts.length > new Set(attempts.map((attempt) => attempt.request)).size + 20,
    `${streamedCount} responses streamed, ${attempts.length} attempts including hedges`,
  );
  assert.equal(
    run.callers.requests.filter((request) => request.result?.kind === 'broken').length,
    0,
  );
});

void test('R7: results fetched before a purge are not served two seconds after it, nor expired ones, despite slow origins or a frozen proxy', () => {
  for (const seed of seedRange(3)) {
    const run = createFixture(seed, 120);
    run.callers.start();
    run.world.runFor(3000);
    const frozenProxy =
      seed % 3 === 0
        ? undefined
        : seed % 3 === 1
          ? run.world.edges[0]
          : run.world.serviceLeaderOf(clips);
    for (const origin of run.world.origins)
      origin.extraLatencyMs = frozenProxy === undefined ? 2400 : 300;
    run.world.runFor(frozenProxy === undefined ? 300 : 1500);
    for (let index = 0; index < 20; index += 1)
      for (const service of [clips, acts]) run.world.purge(...purgeOf(`/${service}/read/${index}`));
    frozenProxy?.freeze();
    run.world.eventQueue.schedule(4500, () => frozenProxy?.resume());
    run.world.runFor(2000);
    for (const origin of run.world.origins) origin.extraLatencyMs = 0;
    run.world.runFor(6000);
    assert.deepEqual(finishRun(run), []);
    assert.ok((run.world.coverage.counts.get('R7: a purge raced a fetch') ?? 0) > 0);
  }
});

void test('R2: a write that is already durable is never reported as rejected when the backup dies during it and the disk of the primary is full', () => {
  for (const seed of seedRange(4)) {
    const run = createFixture(seed, 10);
    run.callers.start();
    run.world.runFor(1500);
    const primary = run.world.primary();
    const backup = run.world.stores.find((store) => store !== primary);
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
    const isStored = run.world.primary()?.hasResultOf(write.id) === true;
    assert.ok(
      write.reply?.status === 504 || !isStored,
      `replied ${write.reply?.status ?? 0}, stored: ${isStored}`,
    );
    assert.deepEqual(finishRun(run), []);
  }
});

void test('a store that was removed from the in-sync set never serves its stale state, whether or not the voters keep their memory', () => {
  for (const losesVoterState of [false, true]) {
    for (const seed of seedRange(2)) {
      const run = createFixture(seed, 10);
      run.callers.start();
      run.world.runFor(1500);
      const primary = run.world.primary();
      const backup = run.world.stores.find((store) => store !== primary);
      assert.ok(primary !== undefined && backup !== undefined);
      // The backup does not learn that it was removed from the in-sync set.
      if (losesVoterState) backup.kill();
      else run.faults.isolate([backup], 'both');
      run.world.runFor(300);
      const write = run.world.apply(80);
      assert.ok(run.world.runUntil(4000, () => write.reply?.status === 200));
      primary.kill();
      if (losesVoterState) for (const registry of run.world.registries) registry.kill();
      run.world.network.heal();
      run.world.runFor(200);
      for (const registry of run.world.registries) registry.start();
      backup.start();
      for (let round = 0; round < 80; round += 1) {
        run.world.runFor(100);
        assert.equal(
          run.world.primary(),
          undefined,
          'no store becomes primary without the last write',
        );
      }
      primary.start();
      assert.ok(run.world.runUntil(6000, () => run.world.primary() === primary));
      run.world.runFor(6000);
      assert.equal(primary.state?.control.configuration?.offer.generation, write.reply?.generation);
      assert.deepEqual(finishRun(run), []);
    }
  }
});

void test('a configuration is accepted or rejected as a whole, and a repeated command gets the same reply and runs once', () => {
  for (const seed of seedRange(3)) {
    const run = createFixture(seed, 10);
    run.callers.start();
    run.world.runFor(1000);
    const before = run.world.primary()?.state?.control.configuration?.offer;
    for (const marker of [10, 11]) {
      const invalid = run.world.apply(marker, undefined, 'invalid');
      assert.ok(run.world.runUntil(4000, () => invalid.reply !== undefined));
      assert.equal(invalid.reply?.status, 422);
    }
    assert.equal(run.world.primary()?.state?.control.configuration?.offer, before);
    const first = run.world.apply(12);
    assert.ok(run.world.runUntil(4000, () => first.reply !== undefined));
    // The same command is sent concurrently to two registries.
    const original = run.world.apply(14);
    const duplicate = run.world.apply(14, undefined, 'plain', original);
    assert.ok(
      run.world.runUntil(4000, () => original.reply !== undefined && duplicate.reply !== undefined),
    );
    assert.equal(original.reply?.generation, duplicate.reply?.generation);
    run.world.writes.splice(run.world.writes.indexOf(duplicate), 1);
    assert.equal(
      run.world.primary()?.state?.control.configuration?.offer.generation,
      original.reply?.generation,
    );
    // The operator got no reply and repeats the command after another one was accepted and the primary changed.
    const later = run.world.apply(13);
    assert.ok(run.world.runUntil(4000, () => later.reply !== undefined));
    run.world.primary()?.kill();
    assert.ok(run.world.runUntil(4000, () => run.world.primary() !== undefined));
    const repeated = run.world.apply(12, undefined, 'plain', first);
    assert.ok(run.world.runUntil(8000, () => repeated.reply !== undefined));
    assert.deepEqual(
      [repeated.reply?.status, repeated.reply?.generation],
      [200, first.reply?.generation],
    );
    assert.equal(
      run.world.primary()?.state?.control.configuration?.offer.generation,
      later.reply?.generation,
    );
    run.world.writes.splice(run.world.writes.indexOf(repeated), 1);
    for (const store of run.world.stores) store.start();
    run.world.runFor(5000);
    assert.deepEqual(finishRun(run), []);
  }
});
