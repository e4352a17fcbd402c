/** Guards against requests to an origin whose departure was confirmed, while registries fail. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { defaultReplicationSettings } from '@switchwheel/replicated-store';
import type { SimulatedOrigin } from '../processes/origin.js';
import type { SimulatedRegistry, RegistryReply } from '../processes/registry.js';
import { type Fixture, clips, finishRun, createFixture, seedRange } from './fixture.js';

const createLoadedFleet = (seed: number): Fixture => {
  const run = createFixture(seed, 80);
  run.callers.start();
  run.world.runFor(2000);
  return run;
};

const pickDepartingOrigin = (run: Fixture): SimulatedOrigin => {
  const departing = run.world.origins.find(
    (origin) => origin.service === clips && origin.state === 'up',
  );
  if (departing === undefined) throw new Error('no origin of clips is up');
  run.world.addOrigin(clips, departing.slots);
  return departing;
};

const announce = (
  registry: SimulatedRegistry,
  origin: SimulatedOrigin,
  state: SimulatedOrigin['state'],
  done: (reply: RegistryReply) => void,
): void => {
  const { service, instance, address, release, slots } = origin;
  registry.handleRequest(
    { verb: 'announce', origin: { service, instance, address, release, slots, state } },
    done,
  );
};

const informedRegistryCount = (run: Fixture, origin: SimulatedOrigin): number =>
  run.world.registries.filter(
    (registry) => registry.state?.origins.get(origin.instance)?.state === 'leaving',
  ).length;

void test('R6: a departed origin receives no requests after two seconds although the registry that confirmed its departure lost power', () => {
  for (const seed of seedRange(6)) {
    const run = createLoadedFleet(seed);
    const origin = pickDepartingOrigin(run);
    const requestedAt = run.world.eventQueue.now;
    origin.leave('leaving');
    assert.ok(run.world.runUntil(1000, () => origin.departureKnownAt !== undefined));
    const registry = run.world.registries.find(
      (registry) => registry.state?.departures.has(origin.instance) === true,
    );
    assert.ok(
      registry !== undefined && run.world.eventQueue.now - requestedAt < 100,
      'a registry knows the departure within 100 ms',
    );
    const machine = run.faults.processesOnMachineOf(registry);
    // Messages of the machine that are still in flight are lost too.
    run.faults.isolate(machine, 'both');
    for (const process of machine) process.kill();
    assert.ok(
      informedRegistryCount(run, origin) >= Math.floor(run.world.registries.length / 2),
      `only ${informedRegistryCount(run, origin)} registries know the departure`,
    );
    run.world.runFor(4000);
    run.world.network.heal();
    for (const process of machine) process.start();
    run.world.runFor(3000);
    assert.deepEqual(finishRun(run), []);
  }
});

void test('R6: a registry on the minority side of a partition rejects a departure within a second, and the majority side confirms it', () => {
  for (const seed of seedRange(4)) {
    const run = createLoadedFleet(seed);
    const origin = pickDepartingOrigin(run);
    const firstHalf = run.world.registries.filter(
      (_, index) => index < run.world.registries.length / 2,
    );
    const [minorityRegistry] = firstHalf;
    const majorityRegistry = run.world.registries.at(-1);
    assert.ok(minorityRegistry !== undefined && majorityRegistry !== undefined);
    const minority = run.world.registries.length % 2 === 0 ? firstHalf : firstHalf.slice(0, -1);
    run.faults.isolate(
      minority.flatMap((registry) => run.faults.processesOnMachineOf(registry)),
      'both',
    );
    let reply: RegistryReply | undefined;
    announce(minorityRegistry, origin, 'leaving', (received) => {
      reply = received;
    });
    assert.ok(
      run.world.runUntil(1000, () => reply !== undefined),
      'the minority registry replies within a second',
    );
    assert.equal(reply?.status, 503);
    run.world.network.heal();
    run.world.runFor(1500);
    const confirmationTimesMs: number[] = [];
    for (let round = 0; round < 2; round += 1) {
      const from = run.world.eventQueue.now;
      let isConfirmed = false;
      announce(majorityRegistry, origin, 'leaving', ({ status }) => {
        isConfirmed = status === 200;
      });
      assert.ok(run.world.runUntil(500, () => isConfirmed));
      confirmationTimesMs.push(run.world.eventQueue.now - from);
    }
    assert.equal(
      confirmationTimesMs[1],
      0,
      'a confirmed departure is acknowledged again without delay',
    );
    origin.state = 'leaving';
    origin.departureKnownAt ??= run.world.eventQueue.now;
    run.world.runFor(3000);
    assert.deepEqual(finishRun(run), []);
  }
});

/** Kills and restarts every process of the fleet. */
const restartFleet = (run: Fixture, downMs: number): void => {
  for (const process of run.world.allProcesses) process.kill();
  run.world.runFor(downMs);
  for (const process of run.world.allProcesses) process.start();
};

/** A fleet whose stores record origins and whose registries use the records while there is no primary. */
const createRecordingFleet = (seed: number): Fixture => {
  const run = createFixture(seed, 80, {
    shields: 2,
    stores: 3,
    offersDiskHints: true,
    replication: { ...defaultReplicationSettings, persistsOrigins: true },
  });
  run.callers.start();
  run.world.runFor(3000);
  return run;
};

// Guards against an acknowledged departure that is only in the memory of processes which then all end at once.
void test('R6: a departed origin receives no requests although all processes were killed right after its departure was confirmed', () => {
  for (const state of ['leaving', 'gone'] as const) {
    for (const seed of seedRange(12)) {
      const run = createRecordingFleet(seed);
      const origin = pickDepartingOrigin(run);
      run.world.runFor(seed % 2 === 0 ? 2000 : 100);
      origin.isReporting = false;
      origin.leave(state);
      assert.ok(run.world.runUntil(1000, () => origin.departureKnownAt !== undefined));
      for (let restart = 0; restart < 1 + (seed % 3); restart += 1) {
        restartFleet(run, 600);
        run.world.runFor(300 + 400 * (seed % 4));
      }
      run.world.runFor(8000);
      assert.deepEqual(finishRun(run), [], `seed ${seed}, ${state}`);
    }
  }
});

// Guards against a late report of a departed origin that the registries take for that of a new one after a restart.
void test('R6: a late report does not bring back an origin whose departure was confirmed before all processes were killed', () => {
  for (const seed of seedRange(12)) {
    const run = createRecordingFleet(seed);
    const origin = pickDepartingOrigin(run);
    run.world.runFor(2000);
    origin.isReporting = false;
    origin.leave('gone');
    assert.ok(run.world.runUntil(1000, () => origin.departureKnownAt !== undefined));
    run.world.runFor(seed % 2 === 0 ? 0 : 3000);
    restartFleet(run, 600);
    run.world.runFor(1500);
    for (const registry of run.world.registries) announce(registry, origin, 'up', () => undefined);
    run.world.runFor(6000);
    assert.deepEqual(finishRun(run), [], `seed ${seed}`);
  }
});
