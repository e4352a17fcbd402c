/** Replacement of a failed store: guards against writes acknowledged on fewer disks than required. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type ZoneName, toZoneName } from '@switchwheel/types';
import type { ReplicationSettings } from '@switchwheel/replicated-store';
import type { SimulatedStore } from '../processes/store.js';
import type { OperatorWrite } from '../world/world.js';
import { type Fixture, finishRun, createFixture, seedRange } from './fixture.js';

/** Maximum time until a command is acknowledged. */
const acknowledgeLimitMs = 4000;

type SettingsChange = Partial<ReplicationSettings>;

const inSyncSet = (run: Fixture): readonly string[] =>
  run.world.primary()?.state?.metadata?.inSyncSet ?? [];

/** Creates a fleet whose spare stores have also caught up with the primary. */
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
    `initial in-sync set: ${inSyncSet(run).join(', ')}`,
  );
  run.world.runFor(3000);
  return run;
};

const primaryOf = (run: Fixture): SimulatedStore => {
  const primary = run.world.primary();
  assert.ok(primary !== undefined, 'there is a primary');
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
  assert.ok(store !== undefined, 'there is a store');
  return store;
};

type StoreFault = 'frozen' | 'disconnected' | 'stalled' | 'slow' | 'full';
const faults: readonly StoreFault[] = ['frozen', 'disconnected', 'stalled', 'slow', 'full'];

/** Slows a disk down: it stalls for 900 ms of each second. */
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
    case 'disconnected':
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

/** Kills all processes on the machine of a store and wipes its disk. */
const wipeMachine = (run: Fixture, store: SimulatedStore): void => {
  for (const process of run.faults.processesOnMachineOf(store)) process.kill();
  store.disk.wipe();
};

const restartMachine = (run: Fixture, store: SimulatedStore, delayMs: number): void => {
  for (const process of run.faults.processesOnMachineOf(store))
    run.world.eventQueue.schedule(delayMs, () => process.start());
};

/** Applies a configuration and asserts that it is acknowledged in time. */
const applyAcknowledged = (run: Fixture, marker: number, context: string): OperatorWrite => {
  const write = run.world.apply(marker);
  assert.ok(
    run.world.runUntil(acknowledgeLimitMs, () => write.reply !== undefined),
    `${context}: no reply`,
  );
  assert.equal(write.reply?.status, 200, `${context}: ${JSON.stringify(write.reply)}`);
  return write;
};

const isOnDisk = (store: SimulatedStore, write: OperatorWrite): boolean =>
  store.disk.synced.some((syncedWrite) =>
    syncedWrite.entries.some((entry) => entry.key === `call/${write.id}`),
  );

/** Stores whose disk holds a write. */
const storesHolding = (run: Fixture, write: OperatorWrite): readonly SimulatedStore[] =>
  run.world.stores.filter((store) => isOnDisk(store, write));

const assertKept = (run: Fixture, write: OperatorWrite, context: string): void => {
  assert.ok(
    run.world.runUntil(8000, () => run.world.primary() !== undefined),
    `${context}: a primary is elected`,
  );
  assert.ok(primaryOf(run).hasResultOf(write.id), `${context}: ${write.id} is lost`);
};

for (const fault of faults)
  void test(`a command acknowledged while a backup is ${fault} is on at least two disks and survives a wipe of the primary`, () => {
    for (const stores of [3, 4, 7])
      for (const [index, delayMs] of [0, 60, 350, 700].entries()) {
        const run = createFleet(1000 + stores * 10 + index, stores);
        const context = `${stores} stores, ${delayMs} ms`;
        const faulty = firstOf(backupsOf(run));
        const primary = primaryOf(run);
        injectFault(run, faulty, fault);
        run.world.runFor(delayMs);
        const write = applyAcknowledged(run, 100, context);
        assert.ok(storesHolding(run, write).length >= 2, `${context}: on fewer than two disks`);
        wipeMachine(run, primary);
        assertKept(run, write, context);
      }
  });

void test('a primary with all acknowledged writes is elected when the old one is wiped at any moment while a backup is replaced', () => {
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
    // Until the replacement is recorded in a new epoch, the stalled backup is the only store known to be in sync.
    run.world.eventQueue.schedule(4000, () => backup.disk.recover());
    assertKept(run, write, `step ${index}`);
    if (isAcknowledged) assertKept(run, pending, `step ${index}`);
  }
});

void test('a spare store that lags behind catches up while a command is pending', () => {
  for (const seed of seedRange(4)) {
    const run = createFleet(seed, 3);
    const spare = firstOf(sparesOf(run));
    run.faults.isolate([spare], 'both');
    for (let marker = 0; marker < 4; marker += 1)
      applyAcknowledged(run, 100 + marker, 'while the spare is disconnected');
    const primary = primaryOf(run);
    const write = run.world.apply(200);
    firstOf(backupsOf(run)).freeze();
    run.world.network.heal();
    assert.ok(run.world.runUntil(acknowledgeLimitMs, () => write.reply !== undefined));
    assert.equal(write.reply?.status, 200);
    assert.ok(storesHolding(run, write).length >= 2, `seed ${seed}: on fewer than two disks`);
    wipeMachine(run, primary);
    assertKept(run, write, `seed ${seed}`);
  }
});

void test('the next spare store joins the in-sync set when the first dies while it joins', () => {
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
    // The registry on its machine keeps running: it may be the one that handles the command.
    const killed = joining ?? firstOf(sparesOf(run));
    killed.kill();
    killed.disk.wipe();
    assert.ok(run.world.runUntil(acknowledgeLimitMs, () => write.reply !== undefined));
    assert.equal(write.reply?.status, 200);
    // If the write was confirmed before the kill, this disk is already the one tolerated loss.
    if (!isConfirmed) {
      assert.ok(
        storesHolding(run, write).length >= 2,
        `killed after ${delayMs} ms: on fewer than two disks`,
      );
      wipeMachine(run, primary);
    }
    assertKept(run, write, `killed after ${delayMs} ms`);
  }
});

void test('a command is acknowledged on three disks although two backups of three copies fail one after the other', () => {
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

void test('a replacement is chosen in a zone or region that has no copy', () => {
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
        assert.fail(`seed ${seed}: no store that holds the write is alive`);
    }
});

void test('a missing failure domain is not compensated by additional copies in the others', () => {
  const domainOfZone = new Map<ZoneName, string>(
    (['one', 'two', 'three', 'four'] as const).map((zone) => [toZoneName(zone), 'same']),
  );
  const run = createFleet(5000, 6, { copies: 3, failureDomains: { tolerate: 1, domainOfZone } });
  // The initial in-sync set holds all stores; after a loss it is reduced to the configured number of copies.
  for (const backup of backupsOf(run).slice(0, -1)) backup.freeze();
  applyAcknowledged(run, 100, 'one region');
  run.world.runFor(4000);
  assert.equal(inSyncSet(run).length, 3, inSyncSet(run).join(', '));
});

void test('a primary with the only working disk continues alone, logs the reduced in-sync set and takes the others back in', () => {
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
      'the reduced in-sync set is logged',
    );
    for (const store of others) store.disk.recover();
    assert.ok(run.world.runUntil(6000, () => inSyncSet(run).length >= 3));
    assert.ok(others.filter((store) => isOnDisk(store, write)).length >= 2);
    assert.deepEqual(finishRun(run), []);
  }
});

void test('no command is acknowledged on fewer than two disks after a backup restarts with an empty disk', () => {
  for (const seed of seedRange(4)) {
    const run = createFleet(seed, 4);
    const primary = primaryOf(run);
    const restarted = firstOf(backupsOf(run));
    wipeMachine(run, restarted);
    restartMachine(run, restarted, 100);
    run.world.runFor(run.world.random.uniform(50, 600));
    const write = applyAcknowledged(run, 100, `seed ${seed}`);
    assert.ok(storesHolding(run, write).length >= 2, `seed ${seed}: on fewer than two disks`);
    wipeMachine(run, primary);
    assertKept(run, write, `seed ${seed}`);
  }
});
