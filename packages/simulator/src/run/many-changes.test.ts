/**
 * Point 4 of the control side's review: changes that never stop, and members that restart amid them.
 * What a restarted store must do to be in sync again may depend on the size of the state only.
 */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { SimulatedStore } from '../processes/store.js';
import type { OperatorWrite } from '../world/world.js';
import { type Fixture, finishRun, createFixture } from './fixture.js';

/** Changes come this often, in milliseconds: 20 a second. */
const changeIntervalMs = 50;
/** In which time a restarted store is in sync again, however many changes there were and go on. */
const resyncLimitMs = 2500;
const copies = 3;

/** How the disk of a store looks when its process starts again. */
type DiskState = 'its own disk' | 'an old disk' | 'a torn disk' | 'no disk';
const diskStates: readonly DiskState[] = ['its own disk', 'an old disk', 'a torn disk', 'no disk'];

const inSyncSet = (run: Fixture): readonly string[] =>
  run.world.primary()?.state?.metadata?.inSyncSet ?? [];

/** A formed fleet of three stores, all of them in sync. */
const createFleet = (seed: number): Fixture => {
  const run = createFixture(seed, 2, {
    edges: 1,
    shields: 2,
    stores: 3,
    replication: { copies, tolerate: 1, electorateFollowsRegistries: false },
  });
  run.callers.start();
  assert.ok(run.world.runUntil(10_000, () => inSyncSet(run).length === copies));
  return run;
};

/** Operators who hand in a change every 50 ms until they are stopped: three purges to each configuration. */
class Operators {
  readonly writes: OperatorWrite[] = [];
  readonly #run: Fixture;
  #isRunning = true;

  constructor(run: Fixture) {
    this.#run = run;
    this.#submitNext();
  }

  stop(): void {
    this.#isRunning = false;
  }

  get confirmed(): readonly OperatorWrite[] {
    return this.writes.filter((write) => write.reply?.status === 200);
  }

  #submitNext(): void {
    if (!this.#isRunning) return;
    const { world } = this.#run;
    const changeNumber = this.writes.length + 1;
    this.writes.push(
      changeNumber % 4 === 0
        ? world.apply(1000 + changeNumber)
        : world.purge([], [{ by: 'tag', tag: `tag-${changeNumber}` }]),
    );
    world.eventQueue.schedule(changeIntervalMs, () => this.#submitNext());
  }
}

const replaceDisk = (store: SimulatedStore, diskState: DiskState, syncedCount: number): void => {
  switch (diskState) {
    case 'its own disk':
      break;
    case 'an old disk':
      store.disk.synced.splice(syncedCount);
      break;
    case 'a torn disk':
      store.disk.isTorn = true;
      break;
    case 'no disk':
      store.disk.wipe();
      break;
  }
};

/** Restarts a backup after a span of changes that go on; tells how long it took to be in sync again. */
const measureResync = (run: Fixture, diskState: DiskState, downtimeMs: number): number => {
  const { world } = run;
  const backup = world.stores.find(
    (store) => store !== world.primary() && inSyncSet(run).includes(store.node),
  );
  assert.ok(backup !== undefined);
  const syncedCount = backup.disk.synced.length;
  world.runFor(1000);
  backup.kill();
  world.runFor(downtimeMs);
  assert.ok(!inSyncSet(run).includes(backup.node), 'it was left out');
  replaceDisk(backup, diskState, syncedCount);
  const startedAt = world.eventQueue.now;
  backup.start();
  world.runUntil(20_000, () => inSyncSet(run).includes(backup.node));
  return world.eventQueue.now - startedAt;
};

/** Whatever was confirmed is what the primary holds: the newest generation and the newest purge. */
const assertNewestKept = (run: Fixture, operators: Operators, context: string): void => {
  const control = run.world.primary()?.state?.control;
  const confirmed = operators.confirmed;
  const generation = Math.max(...confirmed.map((write) => write.reply?.generation ?? 0));
  const purge = Math.max(...confirmed.map((write) => write.reply?.purge ?? 0));
  assert.ok(
    (control?.configuration?.offer.generation ?? 0) >= generation,
    `${context}: generation`,
  );
  assert.ok((control?.purges.at(-1)?.seq ?? 0) >= purge, `${context}: purge`);
};

for (const diskState of diskStates) {
  void test(`amid changes that never stop a store that restarts with ${diskState} is in sync within ${resyncLimitMs} ms, after 2 s of changes as after 15 s`, () => {
    for (const [index, downtimeMs] of [2000, 15_000].entries()) {
      const run = createFleet(500 + index);
      const operators = new Operators(run);
      run.world.runFor(1000);
      const resyncMs = measureResync(run, diskState, downtimeMs);
      const confirmedBefore = operators.confirmed.length;
      run.world.runFor(2000);
      operators.stop();
      run.world.runFor(3000);
      assert.ok(
        resyncMs <= resyncLimitMs,
        `away ${downtimeMs} ms: in sync after ${Math.round(resyncMs)} ms`,
      );
      assert.ok(
        operators.confirmed.length - confirmedBefore > 30,
        `away ${downtimeMs} ms: writes were confirmed all the while`,
      );
      assertNewestKept(run, operators, `away ${downtimeMs} ms`);
      assert.deepEqual(finishRun(run), []);
    }
  });
}

void test('a store that was away for 300 changes and restarts as the primary dies never leads with what its disk held', () => {
  for (const diskState of ['its own disk', 'an old disk'] as const) {
    const run = createFleet(520);
    const { world } = run;
    const operators = new Operators(run);
    const staleStore = world.stores.find((store) => store !== world.primary());
    assert.ok(staleStore !== undefined);
    const syncedCount = staleStore.disk.synced.length;
    world.runFor(1000);
    staleStore.kill();
    world.runFor(15_000);
    replaceDisk(staleStore, diskState, syncedCount);
    const formerPrimary = world.primary();
    formerPrimary?.kill();
    staleStore.start();
    assert.ok(
      world.runUntil(5000, () => world.primary() !== undefined),
      'a primary',
    );
    assert.notEqual(world.primary()?.node, staleStore.node);
    assertNewestKept(run, operators, diskState);
    world.runFor(2000);
    formerPrimary?.start();
    operators.stop();
    world.runFor(5000);
    assertNewestKept(run, operators, diskState);
    assert.deepEqual(finishRun(run), []);
  }
});
