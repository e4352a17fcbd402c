/** Origins that leave. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
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
  if (departing === undefined) throw new Error('no origin');
  run.world.addOrigin(clips, departing.slots);
  return departing;
};

const announce = (
  registry: SimulatedRegistry,
  origin: SimulatedOrigin,
  state: 'leaving' | 'gone',
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

void test('R6: the registry loses power as it confirms that an origin leaves, with all that it had under way: nothing reaches the origin two seconds on', () => {
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
      'it is known soon',
    );
    const machine = run.faults.processesOnMachineOf(registry);
    // What it sent and has not arrived is lost too.
    run.faults.isolate(machine, 'both');
    for (const process of machine) process.kill();
    assert.ok(
      informedRegistryCount(run, origin) >= Math.floor(run.world.registries.length / 2),
      `${informedRegistryCount(run, origin)} others know`,
    );
    run.world.runFor(4000);
    run.world.network.heal();
    for (const process of machine) process.start();
    run.world.runFor(3000);
    assert.deepEqual(finishRun(run), []);
  }
});

void test('R6: a registry on the lesser side of a fresh cut confirms nothing, and says so within a second; the other side confirms at once', () => {
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
      'it is told in time',
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
    assert.equal(confirmationTimesMs[1], 0, 'what is confirmed is told again at once');
    origin.state = 'leaving';
    origin.departureKnownAt ??= run.world.eventQueue.now;
    run.world.runFor(3000);
    assert.deepEqual(finishRun(run), []);
  }
});
