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
const changeInterval = 50;
/** In which time a restarted store is in sync again, however many changes there were and go on. */
const catchUpLimit = 2500;
const copies = 3;

/** How the disk of a store looks when its process starts again. */
type Disk = 'its own disk' | 'an old disk' | 'a torn disk' | 'no disk';
const disks: readonly Disk[] = ['its own disk', 'an old disk', 'a torn disk', 'no disk'];

const inSyncSet = (run: Fixture): readonly string[] =>
  run.world.primary()?.state?.metadata?.inSyncSet ?? [];

/** A formed fleet of three stores, all of them in sync. */
const fleet = (seed: number): Fixture => {
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

/** Operators who hand in a change every 50 ms until they are stopped: three purges to each description. */
class Operators {
  readonly writes: OperatorWrite[] = [];
  readonly #run: Fixture;
  #working = true;

  constructor(run: Fixture) {
    this.#run = run;
    this.#next();
  }

  stop(): void {
    this.#working = false;
  }

  get confirmed(): readonly OperatorWrite[] {
    return this.writes.filter((one) => one.reply?.status === 200);
  }

  #next(): void {
    if (!this.#working) return;
    const { world } = this.#run;
    const serial = this.writes.length + 1;
    this.writes.push(
      serial % 4 === 0
        ? world.apply(1000 + serial)
        : world.purge([], [{ by: 'tag', tag: `tag-${serial}` }]),
    );
    world.eventQueue.schedule(changeInterval, () => this.#next());
  }
}

const changeDisk = (store: SimulatedStore, disk: Disk, since: number): void => {
  switch (disk) {
    case 'its own disk':
      break;
    case 'an old disk':
      store.disk.synced.splice(since);
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
const catchUp = (run: Fixture, disk: Disk, awayMs: number): number => {
  const { world } = run;
  const backup = world.stores.find(
    (one) => one !== world.primary() && inSyncSet(run).includes(one.node),
  );
  assert.ok(backup !== undefined);
  const oldest = backup.disk.synced.length;
  world.runFor(1000);
  backup.kill();
  world.runFor(awayMs);
  assert.ok(!inSyncSet(run).includes(backup.node), 'it was left out');
  changeDisk(backup, disk, oldest);
  const startedAt = world.eventQueue.now;
  backup.start();
  world.runUntil(20_000, () => inSyncSet(run).includes(backup.node));
  return world.eventQueue.now - startedAt;
};

/** Whatever was confirmed is what the primary holds: the newest generation and the newest purge. */
const keepsNewest = (run: Fixture, operators: Operators, what: string): void => {
  const control = run.world.primary()?.state?.control;
  const confirmed = operators.confirmed;
  const generation = Math.max(...confirmed.map((one) => one.reply?.generation ?? 0));
  const purge = Math.max(...confirmed.map((one) => one.reply?.purge ?? 0));
  assert.ok((control?.configuration?.offer.generation ?? 0) >= generation, `${what}: generation`);
  assert.ok((control?.purges.at(-1)?.seq ?? 0) >= purge, `${what}: purge`);
};

for (const disk of disks) {
  void test(`amid changes that never stop a store that restarts with ${disk} is in sync within ${catchUpLimit} ms, after 2 s of changes as after 15 s`, () => {
    for (const [at, awayMs] of [2000, 15_000].entries()) {
      const run = fleet(500 + at);
      const operators = new Operators(run);
      run.world.runFor(1000);
      const took = catchUp(run, disk, awayMs);
      const before = operators.confirmed.length;
      run.world.runFor(2000);
      operators.stop();
      run.world.runFor(3000);
      assert.ok(took <= catchUpLimit, `away ${awayMs} ms: in sync after ${Math.round(took)} ms`);
      assert.ok(
        operators.confirmed.length - before > 30,
        `away ${awayMs} ms: writes were confirmed all the while`,
      );
      keepsNewest(run, operators, `away ${awayMs} ms`);
      assert.deepEqual(finishRun(run), []);
    }
  });
}

void test('a store that was away for 300 changes and restarts as the primary dies never leads with what its disk held', () => {
  for (const disk of ['its own disk', 'an old disk'] as const) {
    const run = fleet(520);
    const { world } = run;
    const operators = new Operators(run);
    const old = world.stores.find((one) => one !== world.primary());
    assert.ok(old !== undefined);
    const oldest = old.disk.synced.length;
    world.runFor(1000);
    old.kill();
    world.runFor(15_000);
    changeDisk(old, disk, oldest);
    const led = world.primary();
    led?.kill();
    old.start();
    assert.ok(
      world.runUntil(5000, () => world.primary() !== undefined),
      'a primary',
    );
    assert.notEqual(world.primary()?.node, old.node);
    keepsNewest(run, operators, disk);
    world.runFor(2000);
    led?.start();
    operators.stop();
    world.runFor(5000);
    keepsNewest(run, operators, disk);
    assert.deepEqual(finishRun(run), []);
  }
});
