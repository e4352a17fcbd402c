/** Changes of a node's registry when the registry, or the whole fleet, loses the primary. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { isConnected } from '@switchwheel/membership';
import type { SimulatedProxy } from '../processes/proxy.js';
import { type Fixture, finishRun, createFixture, seedRange } from './fixture.js';

const registryOf = (proxy: SimulatedProxy): string | undefined =>
  proxy.state?.nodeAgent.nodeSession.registryLink?.address;

/** Returns when each node changed its registry during a span; asserts that all sessions last throughout. */
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
        `${proxy.node} is connected`,
      );
      const currentRegistry = registryOf(proxy);
      if (currentRegistry !== lastRegistry.get(proxy))
        changeTimes.set(proxy, [...(changeTimes.get(proxy) ?? []), run.world.eventQueue.now]);
      lastRegistry.set(proxy, currentRegistry);
    }
  }
  return changeTimes;
};

void test('nodes leave a registry that replies but is disconnected from the primary, and later configurations take effect everywhere', () => {
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
    // A registry's knowledge of the primary expires after 1.2 s, and nodes leave it half a second later.
    watchRegistryChanges(run, 2200);
    // Commands sent to the disconnected registry get no reply; the operator retries with other registries.
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
      'no node stays at the disconnected registry',
    );
    run.world.network.heal();
    run.world.runFor(3000);
    assert.deepEqual(finishRun(run), []);
  }
});

void test('without a primary nodes change their registry at most twice a second and keep their sessions', () => {
  for (const seed of seedRange(2)) {
    const run = createFixture(seed, 20);
    run.callers.start();
    run.world.runFor(2000);
    for (const store of run.world.stores) store.kill();
    const changeTimes = watchRegistryChanges(run, 6000);
    assert.equal(changeTimes.size, run.world.proxies.length, 'every node tries other registries');
    for (const changedAt of changeTimes.values())
      for (const [index, time] of changedAt.entries())
        assert.ok(index === 0 || time - (changedAt[index - 1] ?? 0) >= 490, changedAt.join(', '));
    for (const store of run.world.stores) store.start();
    run.world.runFor(6000);
    const laterChanges = watchRegistryChanges(run, 1500);
    assert.equal(laterChanges.size, 0, 'nodes keep their registry once there is a primary');
    assert.deepEqual(finishRun(run), []);
  }
});
