/** A node's link to its registry. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { isConnected } from '@switchwheel/membership';
import type { SimulatedProxy } from '../processes/proxy.js';
import { type Fixture, finishRun, createFixture, seedRange } from './fixture.js';

const registryOf = (proxy: SimulatedProxy): string | undefined =>
  proxy.state?.nodeAgent.nodeSession.registryLink?.address;

/** Lets time pass and counts how often each node changes its registry; its session must stand all the while. */
const watchRegistryChanges = (
  run: Fixture,
  spanMs: number,
): ReadonlyMap<SimulatedProxy, readonly number[]> => {
  const changeTimes = new Map<SimulatedProxy, number[]>();
  const lastRegistry = new Map(run.world.proxies.map((proxy) => [proxy, registryOf(proxy)]));
  for (let elapsedMs = 0; elapsedMs < spanMs; elapsedMs += 5) {
    run.world.runFor(5);
    for (const proxy of run.world.proxies) {
      const { state } = proxy;
      assert.ok(
        state !== undefined && isConnected(state.nodeAgent.nodeSession, proxy.clock),
        `the session of ${proxy.node} stands`,
      );
      const currentRegistry = registryOf(proxy);
      if (currentRegistry !== lastRegistry.get(proxy))
        changeTimes.set(proxy, [...(changeTimes.get(proxy) ?? []), run.world.eventQueue.now]);
      lastRegistry.set(proxy, currentRegistry);
    }
  }
  return changeTimes;
};

void test('a registry that no longer hears the primary is left by its nodes, though it answers; what is applied then is in force everywhere', () => {
  for (const seed of seedRange(4)) {
    const run = createFixture(seed, 40);
    run.callers.start();
    run.world.runFor(2000);
    const edge = run.world.edges[0];
    const registry = run.world.registries.find(
      (registry) => edge !== undefined && registry.address === registryOf(edge),
    );
    assert.ok(edge !== undefined && registry !== undefined);
    for (const store of run.world.stores) {
      run.world.network.cut(store.node, registry.node);
      run.world.network.cut(registry.node, store.node);
    }
    // What it knows of the primary counts for 1.2 s, half a second later nodes go.
    watchRegistryChanges(run, 2200);
    // An operator whose call gets no answer, as it came to the registry that is cut off, sends another to whichever comes.
    let write = run.world.apply(50);
    for (
      let attempt = 1;
      attempt < 4 && !run.world.runUntil(1000, () => write.reply !== undefined);
      attempt += 1
    )
      write = run.world.apply(50 + attempt);
    assert.ok(run.world.runUntil(1000, () => write.reply !== undefined));
    watchRegistryChanges(run, 1500);
    assert.ok(
      run.world.proxies.every((proxy) => registryOf(proxy) !== registry.address),
      'nobody stays or comes back',
    );
    run.world.network.heal();
    run.world.runFor(3000);
    assert.deepEqual(finishRun(run), []);
  }
});

void test('with no primary at all nodes look around, each at most twice a second, and their sessions stand', () => {
  for (const seed of seedRange(2)) {
    const run = createFixture(seed, 20);
    run.callers.start();
    run.world.runFor(2000);
    for (const store of run.world.stores) store.kill();
    const changeTimes = watchRegistryChanges(run, 6000);
    assert.equal(changeTimes.size, run.world.proxies.length, 'everyone looks around');
    for (const changedAt of changeTimes.values())
      for (const [index, time] of changedAt.entries())
        assert.ok(index === 0 || time - (changedAt[index - 1] ?? 0) >= 490, changedAt.join(', '));
    for (const store of run.world.stores) store.start();
    run.world.runFor(6000);
    const laterChanges = watchRegistryChanges(run, 1500);
    assert.equal(laterChanges.size, 0, 'with a primary everyone stays');
    assert.deepEqual(finishRun(run), []);
  }
});
