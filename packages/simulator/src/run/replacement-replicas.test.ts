/** A new store takes the place of a lost one. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type ZoneName, toZoneName } from '@switchwheel/types';
import type { ReplicationSettings } from '@switchwheel/replicated-store';
import type { SimulatedStore } from '../processes/store.js';
import type { OperatorWrite } from '../world/world.js';
import { type Fixture, finishRun, createFixture, seedRange } from './fixture.js';

/** How long an order may take until it is acknowledged. */
const acknowledgeLimitMs = 4000;

type SettingsChange = Partial<ReplicationSettings>;

const inSyncSet = (run: Fixture): readonly string[] =>
  run.world.primary()?.state?.metadata?.inSyncSet ?? [];

/** A fleet whose spares, too, hold what the primary holds. */
const createFleet = (seed: number, stores: number, change: SettingsChange = {}): Fixture => {
  const settings: ReplicationSettings = {
    copies: 2,
    tolerate: 1,
    electorateFollowsRegistries: false,
    ...change,
  };
  const run = createFixture(seed, 5, { edges: 2, shields: 2, stores, replication: settings });
  run.callers.start();
  const expectedSize = Math.min(stores, settings.copies);
  assert.ok(
    run.world.runUntil(10_000, () => inSyncSet(run).length >= expectedSize),
    `in sync at first: ${inSyncSet(run).join(', ')}`,
  );
  run.world.runFor(3000);
  return run;
};

const primaryOf = (run: Fixture): SimulatedStore => {
  const primary = run.world.primary();
  assert.ok(primary !== undefined, 'a primary');
  return primary;
};

const backupsOf = (run: Fixture): readonly SimulatedStore[] => {
  const primary = primaryOf(run);
  return run.world.stores.filter(
    (store) => store !== primary && inSyncSet(run).includes(store.node),
  );
};

const sparesOf = (run: Fixture): readonly SimulatedStore[] =>
  run.world.stores.filter((store) => !inSyncSet(run).includes(store.node));

const firstOf = (stores: readonly SimulatedStore[]): SimulatedStore => {
  const [store] = stores;
  assert.ok(store !== undefined, 'a store');
  return store;
};

type StoreFault = 'frozen' | 'cut off' | 'stalled' | 'slow' | 'full';
const faults: readonly StoreFault[] = ['frozen', 'cut off', 'stalled', 'slow', 'full'];

/** A slow disk: it makes one short step a second. */
const slowDisk = (run: Fixture, store: SimulatedStore): void => {
  store.disk.condition = 'stalled';
  run.world.eventQueue.schedule(900, () => {
    store.disk.recover();
    run.world.eventQueue.schedule(100, () => slowDisk(run, store));
  });
};

const injectFault = (run: Fixture, store: SimulatedStore, fault: StoreFault): void => {
  switch (fault) {
    case 'frozen':
      store.freeze();
      break;
    case 'cut off':
      run.faults.isolate([store], 'both');
      break;
    case 'stalled':
      store.disk.condition = 'stalled';
      break;
    case 'slow':
      slowDisk(run, store);
      break;
    case 'full':
      store.disk.condition = 'full';
      break;
  }
};

/** The machine of a store loses power and its disk. */
const wipeMachine = (run: Fixture, store: SimulatedStore): void => {
  for (const process of run.faults.processesOnMachineOf(store)) process.kill();
  store.disk.wipe();
};

const restartMachine = (run: Fixture, store: SimulatedStore, delayMs: number): void => {
  for (const process of run.faults.processesOnMachineOf(store))
    run.world.eventQueue.schedule(delayMs, () => process.start());
};

/** A command that was acknowledged in time. */
const applyAcknowledged = (run: Fixture, marker: number, context: string): OperatorWrite => {
  const write = run.world.apply(marker);
  assert.ok(
    run.world.runUntil(acknowledgeLimitMs, () => write.reply !== undefined),
    `${context}: no answer`,
  );
  assert.equal(write.reply?.status, 200, `${context}: ${JSON.stringify(write.reply)}`);
  return write;
};

const isOnDisk = (store: SimulatedStore, write: OperatorWrite): boolean =>
  store.disk.synced.some((syncedWrite) =>
    syncedWrite.entries.some((entry) => entry.key === `call/${write.id}`),
  );

/** The stores on whose disks an order is. */
const storesHolding = (run: Fixture, write: OperatorWrite): readonly SimulatedStore[] =>
  run.world.stores.filter((store) => isOnDisk(store, write));

const assertKept = (run: Fixture, write: OperatorWrite, context: string): void => {
  assert.ok(
    run.world.runUntil(8000, () => run.world.primary() !== undefined),
    `${context}: a primary`,
  );
  assert.ok(primaryOf(run).hasResultOf(write.id), `${context}: ${write.id} is lost`);
};

for (const fault of faults)
  void test(`a backup is ${fault}: an order is told on two disks at least, and the primary's may be wiped`, () => {
    for (const stores of [3, 4, 7])
      for (const [index, delayMs] of [0, 60, 350, 700].entries()) {
        const run = createFleet(1000 + stores * 10 + index, stores);
        const context = `${stores} stores, ${delayMs} ms`;
        const faulty = firstOf(backupsOf(run));
        const primary = primaryOf(run);
        injectFault(run, faulty, fault);
        run.world.runFor(delayMs);
        const write = applyAcknowledged(run, 100, context);
        assert.ok(storesHolding(run, write).length >= 2, `${context}: on one disk`);
        wipeMachine(run, primary);
        assertKept(run, write, context);
      }
  });

void test('the primary is wiped at each moment while a backup is replaced: a primary comes, with all that was told', () => {
  for (let index = 0; index < 24; index += 1) {
    const run = createFleet(2000 + index, 4);
    const write = applyAcknowledged(run, 100, 'before');
    const primary = primaryOf(run);
    const backup = firstOf(backupsOf(run));
    backup.disk.condition = 'stalled';
    const pending = run.world.apply(101);
    run.world.runFor(390 + index * 6);
    const isAcknowledged = pending.reply?.status === 200;
    wipeMachine(run, primary);
    // Before another epoch was asked for, the stalled disk is the only one that is known to have all.
    run.world.eventQueue.schedule(4000, () => backup.disk.recover());
    assertKept(run, write, `at ${index}`);
    if (isAcknowledged) assertKept(run, pending, `at ${index}`);
  }
});

void test('a spare that is behind is brought up while the order is open', () => {
  for (const seed of seedRange(4)) {
    const run = createFleet(seed, 3);
    const spare = firstOf(sparesOf(run));
    run.faults.isolate([spare], 'both');
    for (let marker = 0; marker < 4; marker += 1) applyAcknowledged(run, 100 + marker, 'behind');
    const primary = primaryOf(run);
    const write = run.world.apply(200);
    firstOf(backupsOf(run)).freeze();
    run.world.network.heal();
    assert.ok(run.world.runUntil(acknowledgeLimitMs, () => write.reply !== undefined));
    assert.equal(write.reply?.status, 200);
    assert.ok(storesHolding(run, write).length >= 2, `seed ${seed}: on one disk`);
    wipeMachine(run, primary);
    assertKept(run, write, `seed ${seed}`);
  }
});

void test('a spare dies while it is taken in: the next one is', () => {
  for (const [index, delayMs] of [395, 410, 425, 440, 460].entries()) {
    const run = createFleet(3000 + index, 5);
    const primary = primaryOf(run);
    firstOf(backupsOf(run)).freeze();
    const write = run.world.apply(100);
    run.world.runFor(delayMs);
    const joining = run.world.stores.find(
      (store) =>
        store !== primary &&
        !store.isFrozen &&
        primary.state?.candidate.inSyncSet.includes(store.node) === true,
    );
    const isConfirmed = primary.hasResultOf(write.id);
    // Its registry runs on: the order may have been handed to it.
    const killed = joining ?? firstOf(sparesOf(run));
    killed.kill();
    killed.disk.wipe();
    assert.ok(run.world.runUntil(acknowledgeLimitMs, () => write.reply !== undefined));
    assert.equal(write.reply?.status, 200);
    // The disk that was lost after the confirmation is the one loss that is tolerated.
    if (!isConfirmed) {
      assert.ok(storesHolding(run, write).length >= 2, `moment ${delayMs}: on one disk`);
      wipeMachine(run, primary);
    }
    assertKept(run, write, `moment ${delayMs}`);
  }
});

void test('two backups of three copies are in trouble, one after the other: three copies again before an order is told', () => {
  for (const [index, fault] of faults.entries()) {
    const run = createFleet(4000 + index, 6, { copies: 3, tolerate: 2 });
    const primary = primaryOf(run);
    const [firstBackup, secondBackup] = backupsOf(run);
    assert.ok(firstBackup !== undefined && secondBackup !== undefined);
    injectFault(run, firstBackup, fault);
    run.world.eventQueue.schedule(200, () => injectFault(run, secondBackup, fault));
    const write = applyAcknowledged(run, 100, fault);
    assert.ok(
      storesHolding(run, write).length >= 3,
      `${fault}: on ${storesHolding(run, write).length} disks`,
    );
    run.world.runFor(300);
    const secondWrite = applyAcknowledged(run, 101, fault);
    assert.ok(
      storesHolding(run, secondWrite).length >= 3,
      `${fault}: on ${storesHolding(run, secondWrite).length} disks`,
    );
    wipeMachine(run, primary);
    assertKept(run, secondWrite, fault);
  }
});

const zonesHolding = (run: Fixture, write: OperatorWrite): ReadonlySet<string> =>
  new Set(storesHolding(run, write).map((store) => store.zone));

void test('zones and regions are counted: a replacement stands where a copy is lacking', () => {
  const regions = new Map<ZoneName, string>(
    (['one', 'two', 'three', 'four'] as const).map((zone) => [
      toZoneName(zone),
      zone === 'two' || zone === 'three' ? 'east' : 'west',
    ]),
  );
  const regionOf = (store: SimulatedStore): string => regions.get(toZoneName(store.zone)) ?? '';
  for (const domainOfZone of [new Map<ZoneName, string>(), regions])
    for (const seed of seedRange(4)) {
      const run = createFleet(seed, 7, {
        copies: 2,
        failureDomains: { tolerate: 1, domainOfZone },
      });
      const primary = primaryOf(run);
      for (const backup of backupsOf(run)) backup.disk.condition = 'stalled';
      const write = applyAcknowledged(run, 100, `seed ${seed}`);
      assert.ok(zonesHolding(run, write).size >= 2, [...zonesHolding(run, write)].join(', '));
      const inSyncStores = run.world.stores.filter((store) => inSyncSet(run).includes(store.node));
      const domain = (store: SimulatedStore): string =>
        domainOfZone.size === 0 ? store.zone : regionOf(store);
      assert.ok(new Set(inSyncStores.map(domain)).size >= 2, inSyncStores.map(domain).join(', '));
      for (const store of run.world.stores)
        if (domain(store) === domain(primary)) wipeMachine(run, store);
      if (storesHolding(run, write).every((store) => !store.isAlive))
        assert.fail(`seed ${seed}: all lost`);
    }
});

void test('a domain that is lacking is not made up for by more copies in the others', () => {
  const domainOfZone = new Map<ZoneName, string>(
    (['one', 'two', 'three', 'four'] as const).map((zone) => [toZoneName(zone), 'same']),
  );
  const run = createFleet(5000, 6, { copies: 3, failureDomains: { tolerate: 1, domainOfZone } });
  // At first the operator names all stores; one loss later there are as many as are wanted.
  for (const backup of backupsOf(run).slice(0, -1)) backup.freeze();
  applyAcknowledged(run, 100, 'one region');
  run.world.runFor(4000);
  assert.equal(inSyncSet(run).length, 3, inSyncSet(run).join(', '));
});

void test("only the primary's disk works: it goes on alone, says so, and takes the others in again", () => {
  for (const seed of seedRange(3)) {
    const run = createFleet(seed, 4, { copies: 3 });
    const primary = primaryOf(run);
    const others = run.world.stores.filter((store) => store !== primary);
    for (const [index, store] of others.entries())
      store.disk.condition = index === 0 ? 'full' : 'stalled';
    const write = applyAcknowledged(run, 100, `seed ${seed}`);
    assert.deepEqual(inSyncSet(run), [primary.node]);
    assert.ok(
      run.world.logs.some((line) => line.includes('in-sync set reduced')),
      'it says so',
    );
    for (const store of others) store.disk.recover();
    assert.ok(run.world.runUntil(6000, () => inSyncSet(run).length >= 3));
    assert.ok(others.filter((store) => isOnDisk(store, write)).length >= 2);
    assert.deepEqual(finishRun(run), []);
  }
});

void test('a backup returns with an empty disk: no order is told before two others have it', () => {
  for (const seed of seedRange(4)) {
    const run = createFleet(seed, 4);
    const primary = primaryOf(run);
    const lost = firstOf(backupsOf(run));
    wipeMachine(run, lost);
    restartMachine(run, lost, 100);
    run.world.runFor(run.world.random.uniform(50, 600));
    const write = applyAcknowledged(run, 100, `seed ${seed}`);
    assert.ok(storesHolding(run, write).length >= 2, `seed ${seed}: on one disk`);
    wipeMachine(run, primary);
    assertKept(run, write, `seed ${seed}`);
  }
});
