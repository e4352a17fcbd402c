/** Origins that leave. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { SimulatedOrigin } from '../processes/origin.js';
import type { SimulatedRegistry, RegistryReply } from '../processes/registry.js';
import { type Fixture, clips, finishRun, createFixture, seedRange } from './fixture.js';

const busy = (seed: number): Fixture => {
  const run = createFixture(seed, 80);
  run.callers.start();
  run.world.runFor(2000);
  return run;
};

const leaver = (run: Fixture): SimulatedOrigin => {
  const found = run.world.origins.find((one) => one.service === clips && one.state === 'up');
  if (found === undefined) throw new Error('no origin');
  run.world.addOrigin(clips, found.slots);
  return found;
};

const announce = (
  registry: SimulatedRegistry,
  origin: SimulatedOrigin,
  state: 'leaving' | 'gone',
  done: (told: RegistryReply) => void,
): void => {
  const { service, instance, address, release, slots } = origin;
  registry.handleRequest(
    { verb: 'announce', origin: { service, instance, address, release, slots, state } },
    done,
  );
};

const knowing = (run: Fixture, origin: SimulatedOrigin): number =>
  run.world.registries.filter((one) => one.state?.origins.get(origin.instance)?.state === 'leaving')
    .length;

void test('R6: the registry loses power as it confirms that an origin leaves, with all that it had under way: nothing reaches the origin two seconds on', () => {
  for (const seed of seedRange(6)) {
    const run = busy(seed);
    const origin = leaver(run);
    const at = run.world.eventQueue.now;
    origin.leave('leaving');
    assert.ok(run.world.runUntil(1000, () => origin.departureKnownAt !== undefined));
    const registry = run.world.registries.find(
      (one) => one.state?.departures.has(origin.instance) === true,
    );
    assert.ok(registry !== undefined && run.world.eventQueue.now - at < 100, 'it is known soon');
    const machine = run.faults.processesOnMachineOf(registry);
    // What it sent and has not arrived is lost too.
    run.faults.isolate(machine, 'both');
    for (const actor of machine) actor.kill();
    assert.ok(
      knowing(run, origin) >= Math.floor(run.world.registries.length / 2),
      `${knowing(run, origin)} others know`,
    );
    run.world.runFor(4000);
    run.world.network.heal();
    for (const actor of machine) actor.start();
    run.world.runFor(3000);
    assert.deepEqual(finishRun(run), []);
  }
});

void test('R6: a registry on the lesser side of a fresh cut confirms nothing, and says so within a second; the other side confirms at once', () => {
  for (const seed of seedRange(4)) {
    const run = busy(seed);
    const origin = leaver(run);
    const half = run.world.registries.filter((_, at) => at < run.world.registries.length / 2);
    const [near] = half;
    const far = run.world.registries.at(-1);
    assert.ok(near !== undefined && far !== undefined);
    const lesser = run.world.registries.length % 2 === 0 ? half : half.slice(0, -1);
    run.faults.isolate(
      lesser.flatMap((one) => run.faults.processesOnMachineOf(one)),
      'both',
    );
    let told: RegistryReply | undefined;
    announce(near, origin, 'leaving', (one) => {
      told = one;
    });
    assert.ok(
      run.world.runUntil(1000, () => told !== undefined),
      'it is told in time',
    );
    assert.equal(told?.status, 503);
    run.world.network.heal();
    run.world.runFor(1500);
    const times: number[] = [];
    for (let turn = 0; turn < 2; turn += 1) {
      const from = run.world.eventQueue.now;
      let done = false;
      announce(far, origin, 'leaving', ({ status }) => {
        done = status === 200;
      });
      assert.ok(run.world.runUntil(500, () => done));
      times.push(run.world.eventQueue.now - from);
    }
    assert.equal(times[1], 0, 'what is confirmed is told again at once');
    origin.state = 'leaving';
    origin.departureKnownAt ??= run.world.eventQueue.now;
    run.world.runFor(3000);
    assert.deepEqual(finishRun(run), []);
  }
});
