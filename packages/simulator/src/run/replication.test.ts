/** Durability of acknowledged writes through losses of stores and disks, and membership of the electorate. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { SimulatedStore } from '../processes/store.js';
import type { OperatorWrite } from '../world/world.js';
import { type Fixture, finishRun, createFixture, seedRange } from './fixture.js';

const createFleet = (
  seed: number,
  change: {
    readonly stores?: number;
    readonly copies?: number;
    readonly tolerate?: number;
    readonly followsRegistries?: boolean;
    readonly shields?: number;
  } = {},
): Fixture => {
  const { stores = 3, copies = 3, tolerate = 1, followsRegistries = false, shields = 2 } = change;
  const run = createFixture(seed, 5, {
    edges: 2,
    shields,
    stores,
    replication: { copies, tolerate, electorateFollowsRegistries: followsRegistries },
  });
  run.callers.start();
  assert.ok(
    run.world.runUntil(10_000, () => inSyncSet(run).length === copies),
    `initial in-sync set: ${inSyncSet(run).join(', ')}`,
  );
  return run;
};

const inSyncSet = (run: Fixture): readonly string[] =>
  run.world.primary()?.state?.metadata?.inSyncSet ?? [];

/** Applies a configuration, retried until it is confirmed, and returns right after the confirmation. */
const applyConfirmed = (run: Fixture, marker: number): OperatorWrite => {
  for (let round = 0; round < 6; round += 1) {
    const write = run.world.apply(marker * 10 + round);
    run.world.runUntil(9000, () => write.reply !== undefined);
    if (write.reply?.status === 200) return write;
  }
  throw new Error(
    `no write was confirmed in 6 attempts; last log lines: ${run.world.logs.slice(-5).join('; ')}`,
  );
};

/** Kills all processes on the machine of a store, and optionally wipes its disk. */
const powerOff = (run: Fixture, store: SimulatedStore, wipesDisk: boolean): void => {
  for (const process of run.faults.processesOnMachineOf(store)) process.kill();
  if (wipesDisk) store.disk.wipe();
};

const powerOn = (run: Fixture, store: SimulatedStore, delayMs: number): void => {
  for (const process of run.faults.processesOnMachineOf(store))
    run.world.eventQueue.schedule(delayMs, () => process.start());
};

const killAll = (run: Fixture): void => {
  for (const process of run.world.allProcesses) process.kill();
};
const startAll = (run: Fixture): void => {
  for (const process of run.world.allProcesses)
    run.world.eventQueue.schedule(run.world.random.uniform(10, 1000), () => process.start());
};

/** Asserts that all confirmed writes are kept, that writes are accepted and that the in-sync set is complete again. */
const assertAllKept = (
  run: Fixture,
  writes: readonly OperatorWrite[],
  copies: number,
  context: string,
): void => {
  assert.ok(
    run.world.runUntil(15_000, () => run.world.primary() !== undefined),
    `${context}: a primary is elected`,
  );
  for (const write of writes)
    assert.ok(
      run.world.primary()?.hasResultOf(write.id) === true,
      `${context}: ${write.id} is lost`,
    );
  applyConfirmed(run, 9000 + run.faults.nextNumber());
  assert.ok(
    run.world.runUntil(10_000, () => inSyncSet(run).length === copies),
    `${context}: in-sync set is incomplete: ${inSyncSet(run).join(', ')}`,
  );
  for (const write of writes)
    assert.ok(
      run.world.primary()?.hasResultOf(write.id) === true,
      `${context}: ${write.id} is lost after the resync`,
    );
};

void test('a write is acknowledged only once all three stores in sync have it', () => {
  for (const seed of seedRange(3)) {
    const run = createFleet(seed);
    for (let round = 0; round < 5; round += 1) {
      const write = applyConfirmed(run, 100 + round);
      assert.deepEqual(
        run.world.stores.map((store) => store.hasResultOf(write.id)),
        [true, true, true],
      );
      run.world.runFor(300);
    }
    assert.deepEqual(finishRun(run), []);
  }
});

void test('a backup that has the write takes over when the primary is killed right after the acknowledgement', () => {
  for (const seed of seedRange(6)) {
    const run = createFleet(seed);
    const write = applyConfirmed(run, 100);
    const primary = run.world.primary();
    assert.ok(primary !== undefined);
    powerOff(run, primary, seed % 2 === 0);
    assert.ok(
      run.world.runUntil(2500, () => run.world.primary() !== undefined),
      'one of two candidates is elected',
    );
    powerOn(run, primary, 500);
    assertAllKept(run, [write], 3, `seed ${seed}`);
    assert.deepEqual(finishRun(run), []);
  }
});

void test('an acknowledged write survives the loss of any one or two disks, whether or not all machines lose power', () => {
  const lostIndexSets = [[0], [1], [2], [0, 1], [0, 2], [1, 2]];
  for (const power of ['on', 'off'] as const) {
    for (const [index, lostIndexes] of lostIndexSets.entries()) {
      const run = createFleet(200 + index, { tolerate: 2 });
      const write = applyConfirmed(run, 100);
      if (power === 'off') killAll(run);
      for (const lostIndex of lostIndexes) {
        const store = run.world.stores[lostIndex];
        assert.ok(store !== undefined);
        powerOff(run, store, true);
      }
      if (power === 'off') startAll(run);
      else
        for (const store of run.world.stores)
          powerOn(run, store, run.world.random.uniform(100, 900));
      assertAllKept(run, [write], 3, `power ${power}, lost ${lostIndexes.join(' and ')}`);
      assert.deepEqual(finishRun(run), []);
    }
  }
});

void test('acknowledged writes survive repeated kills of all processes', () => {
  for (const seed of seedRange(3)) {
    const run = createFleet(seed);
    const writes: OperatorWrite[] = [];
    for (let round = 0; round < 3; round += 1) {
      writes.push(applyConfirmed(run, 100 + round));
      killAll(run);
      startAll(run);
      assertAllKept(run, writes, 3, `round ${round}`);
      run.world.runFor(1000);
    }
    assert.deepEqual(finishRun(run), []);
  }
});

void test('a cluster that loses a machine for good during a power loss restarts without it and takes in a new one', () => {
  for (const removedIndex of [0, 1, 2]) {
    const run = createFleet(300 + removedIndex);
    const write = applyConfirmed(run, 100);
    const store = run.world.stores[removedIndex];
    assert.ok(store !== undefined);
    killAll(run);
    run.world.removeStore(store);
    startAll(run);
    assert.ok(
      run.world.runUntil(15_000, () => run.world.primary()?.hasResultOf(write.id) === true),
    );
    const added = run.world.addStore('store-9', 9);
    assert.ok(
      run.world.runUntil(5000, () => inSyncSet(run).includes(added.node)),
      'the new store is in sync',
    );
    assert.ok(
      run.world.runUntil(20_000, () => {
        run.world.runFor(500);
        return (
          run.world
            .primary()
            ?.state?.metadata?.stores.some((member) => member.node === store.node) === false
        );
      }) || inSyncSet(run).length === 3,
    );
    assertAllKept(run, [write], 3, `without ${store.node}`);
    assert.deepEqual(finishRun(run), []);
  }
});

void test('three copies are restored within four seconds of each replacement, and the state survives the replacement of all machines', () => {
  for (const seed of seedRange(2)) {
    const run = createFleet(seed);
    const write = applyConfirmed(run, 100);
    for (const [index, replaced] of [...run.world.stores].entries()) {
      run.world.removeStore(replaced);
      const added = run.world.addStore(`store-${index + 11}`, index + 11);
      assert.ok(
        run.world.runUntil(
          4000,
          () =>
            inSyncSet(run).includes(added.node) &&
            inSyncSet(run).length === 3 &&
            !inSyncSet(run).includes(replaced.node),
        ),
        `${added.node}: ${inSyncSet(run).join(', ')}`,
      );
    }
    assertAllKept(run, [write], 3, `seed ${seed}`);
    assert.deepEqual(finishRun(run), []);
  }
});

void test('a primary that resumes after its lease follows its successor, and writes confirmed meanwhile are kept', () => {
  for (const seed of seedRange(4)) {
    const run = createFleet(seed);
    const before = applyConfirmed(run, 100);
    const frozen = run.world.primary();
    assert.ok(frozen !== undefined);
    const pending = run.world.apply(500);
    run.world.runFor(seed % 2 === 0 ? 3 : 12);
    frozen.freeze();
    run.world.runFor(2500);
    assert.ok(run.world.primary() !== frozen);
    const after = applyConfirmed(run, 101);
    frozen.resume();
    run.world.runFor(3000);
    assert.ok(
      pending.reply?.status !== 200 || run.world.primary()?.hasResultOf(pending.id) === true,
    );
    assertAllKept(run, [before, after], 3, `seed ${seed}`);
    assert.ok(
      frozen.hasResultOf(after.id),
      'the resumed store has the write made while it was frozen',
    );
    assert.deepEqual(finishRun(run), []);
  }
});

void test('a spare store replaces a lost one within four seconds, and writes survive the loss of all original disks one by one', () => {
  for (const seed of seedRange(3)) {
    const run = createFleet(seed, { stores: 5, copies: 2 });
    const write = applyConfirmed(run, 100);
    for (let round = 0; round < 4; round += 1) {
      const lost = run.world.stores.find(
        (store) =>
          inSyncSet(run).includes(store.node) &&
          (round % 2 === 0) === (store === run.world.primary()),
      );
      assert.ok(lost !== undefined);
      powerOff(run, lost, true);
      assert.ok(
        run.world.runUntil(
          4000,
          () => inSyncSet(run).length === 2 && !inSyncSet(run).includes(lost.node),
        ),
        `round ${round}: ${inSyncSet(run).join(', ')}`,
      );
      assert.ok(run.world.primary()?.hasResultOf(write.id) === true);
      powerOn(run, lost, 100);
    }
    assertAllKept(run, [write], 2, `seed ${seed}`);
    assert.deepEqual(finishRun(run), []);
  }
});

void test('a spare store in a zone without a copy is resynced first', () => {
  for (const seed of seedRange(2)) {
    // Stores are spread over four zones in turn: the fifth is in the zone of the first.
    const run = createFleet(seed, { stores: 5, copies: 3 });
    for (let round = 0; round < 3; round += 1) {
      const lost = run.world.stores.find(
        (store) => inSyncSet(run).includes(store.node) && store !== run.world.primary(),
      );
      assert.ok(lost !== undefined);
      powerOff(run, lost, false);
      assert.ok(
        run.world.runUntil(
          4000,
          () => inSyncSet(run).length === 3 && !inSyncSet(run).includes(lost.node),
        ),
      );
      const zones = run.world.stores
        .filter((store) => inSyncSet(run).includes(store.node))
        .map((store) => store.zone);
      assert.equal(new Set(zones).size, 3, zones.join(', '));
      powerOn(run, lost, 100);
      run.world.runFor(1500);
    }
    assert.deepEqual(finishRun(run), []);
  }
});

void test('a spare store whose disk rejects writes does not prevent the resync of others', () => {
  for (const diskCondition of ['stalled', 'full'] as const) {
    const run = createFleet(401, { stores: 4, copies: 2 });
    const [faulty, healthy] = run.world.stores.filter(
      (store) => !inSyncSet(run).includes(store.node),
    );
    assert.ok(faulty !== undefined && healthy !== undefined);
    faulty.disk.condition = diskCondition;
    const lost = run.world.stores.find(
      (store) => inSyncSet(run).includes(store.node) && store !== run.world.primary(),
    );
    assert.ok(lost !== undefined);
    powerOff(run, lost, false);
    assert.ok(
      run.world.runUntil(10_000, () => inSyncSet(run).includes(healthy.node)),
      `${diskCondition}: ${inSyncSet(run).join(', ')}`,
    );
    faulty.disk.recover();
    assert.deepEqual(finishRun(run), []);
  }
});

void test('a backup removed from the in-sync set is not elected while a store in sync may still return, although all voters lost their memory', () => {
  for (const seed of seedRange(3)) {
    const run = createFleet(seed);
    const primary = run.world.primary();
    const [removed, remaining] = run.world.stores.filter((store) => store !== primary);
    assert.ok(primary !== undefined && removed !== undefined && remaining !== undefined);
    run.faults.isolate(run.faults.processesOnMachineOf(removed), 'both');
    const write = applyConfirmed(run, 100);
    assert.ok(inSyncSet(run).length === 2);
    killAll(run);
    run.world.network.heal();
    for (const process of run.world.allProcesses)
      if (process !== primary && process !== remaining)
        run.world.eventQueue.schedule(run.world.random.uniform(10, 1000), () => process.start());
    for (let round = 0; round < 80; round += 1) {
      run.world.runFor(100);
      assert.equal(
        run.world.primary(),
        undefined,
        'no store becomes primary without the last write',
      );
    }
    // One of the two stores that had the write has it still; the disk of the other is wiped.
    primary.disk.wipe();
    primary.start();
    remaining.start();
    assert.ok(run.world.runUntil(8000, () => run.world.primary() === remaining));
    assertAllKept(run, [write], 3, `seed ${seed}`);
    assert.deepEqual(finishRun(run), []);
  }
});

void test('no confirmed write is lost over twelve random failures in a row', () => {
  for (const seed of seedRange(4)) {
    const run = createFleet(seed, { stores: 5, copies: 3, tolerate: 2 });
    const writes: OperatorWrite[] = [];
    for (let round = 0; round < 12; round += 1) {
      writes.push(applyConfirmed(run, 100 + round));
      const failure =
        run.world.random.pick([
          'kill',
          'wipe',
          'pair',
          'freeze',
          'cut',
          'stall',
          'full',
          'all',
          'all and wipe',
        ] as const) ?? 'kill';
      const members = run.world.stores.filter((store) => inSyncSet(run).includes(store.node));
      const first = run.world.random.pick(members);
      const second = run.world.random.pick(members.filter((other) => other !== first));
      assert.ok(first !== undefined && second !== undefined);
      run.world.runFor(run.world.random.uniform(0, 20));
      if (failure === 'kill' || failure === 'wipe' || failure === 'pair') {
        powerOff(run, first, failure !== 'kill');
        if (failure === 'pair') powerOff(run, second, true);
      } else if (failure === 'freeze') {
        first.freeze();
        run.world.eventQueue.schedule(run.world.random.uniform(300, 4000), () => first.resume());
      } else if (failure === 'cut') {
        run.faults.isolate(run.faults.processesOnMachineOf(first), 'both');
        run.world.eventQueue.schedule(run.world.random.uniform(300, 4000), () =>
          run.world.network.heal(),
        );
      } else if (failure === 'stall' || failure === 'full') {
        first.disk.condition = failure === 'stall' ? 'stalled' : 'full';
        run.world.eventQueue.schedule(run.world.random.uniform(300, 4000), () =>
          first.disk.recover(),
        );
      } else {
        killAll(run);
        if (failure === 'all and wipe') for (const store of [first, second]) store.disk.wipe();
        startAll(run);
      }
      run.world.runFor(run.world.random.uniform(100, 900));
      for (const store of run.world.stores)
        if (!store.isAlive) powerOn(run, store, run.world.random.uniform(10, 2000));
      run.world.runFor(4500);
      assertAllKept(run, writes, 3, `seed ${seed}, round ${round}, ${failure}`);
    }
    assert.deepEqual(finishRun(run), []);
  }
});

const voters = (run: Fixture): readonly string[] =>
  [
    ...(run.world.primary()?.state?.metadata?.electorate.members.map((member) => member.node) ??
      []),
  ].sort();

void test('an electorate that follows the registries survives the replacement of all of them, and the new voters elect a primary', () => {
  for (const seed of seedRange(2)) {
    const run = createFleet(seed, { followsRegistries: true });
    const write = applyConfirmed(run, 100);
    const before = voters(run);
    for (const [index, removed] of [...run.world.registries].entries()) {
      const added = run.world.addRegistry(`new-${index + 1}`, index + 1);
      assert.ok(
        run.world.runUntil(4000, () => voters(run).includes(added.node)),
        `${added.node} is a voter`,
      );
      run.world.removeRegistry(removed);
      assert.ok(
        run.world.runUntil(
          4000,
          () => voters(run).length === before.length && !voters(run).includes(removed.node),
        ),
        `${removed.node} is still a voter: ${voters(run).join(', ')}`,
      );
    }
    assert.deepEqual(voters(run), run.world.registries.map((registry) => registry.node).sort());
    const primary = run.world.primary();
    primary?.kill();
    assert.ok(run.world.runUntil(2500, () => run.world.primary() !== undefined));
    primary?.start();
    assertAllKept(run, [write], 3, `seed ${seed}`);
    assert.deepEqual(finishRun(run), []);
  }
});

void test('an electorate that does not follow the registries never changes when registries join or fail', () => {
  const run = createFleet(500);
  const before = voters(run);
  const [absent] = run.world.registries;
  assert.ok(absent !== undefined);
  run.world.addRegistry('new-1', 1);
  absent.kill();
  for (let round = 0; round < 20; round += 1) {
    run.world.runFor(1000);
    assert.deepEqual(voters(run), before);
  }
  absent.start();
  run.world.runFor(6000);
  assert.deepEqual(voters(run), before);
  assert.deepEqual(finishRun(run), []);
});

void test('one dead voter of an odd electorate stays a member; two are removed within four seconds and return within four seconds of their restart', () => {
  const run = createFleet(501, { followsRegistries: true });
  const before = voters(run);
  assert.equal(before.length, 5);
  const [first, second] = run.world.registries;
  assert.ok(first !== undefined && second !== undefined);
  first.kill();
  for (let round = 0; round < 20; round += 1) {
    run.world.runFor(1000);
    assert.deepEqual(voters(run), before);
  }
  second.kill();
  run.world.runFor(4000);
  const without = before.filter((node) => node !== first.node && node !== second.node);
  assert.deepEqual(voters(run), without);
  for (const registry of [first, second]) {
    registry.start();
    run.world.runFor(4000);
    assert.ok(voters(run).includes(registry.node), `${registry.node} is a voter again`);
  }
  assert.deepEqual(voters(run), before);
  assert.deepEqual(finishRun(run), []);
});

void test('a voter that is frozen for less than a second and a half stays a member in electorates of any size', () => {
  for (const shields of [1, 2]) {
    const run = createFleet(502 + shields, { followsRegistries: true, shields });
    const before = voters(run);
    const [absent] = run.world.registries;
    assert.ok(absent !== undefined);
    for (let round = 0; round < 3; round += 1) {
      absent.freeze();
      run.world.runFor(1200);
      assert.deepEqual(voters(run), before);
      absent.resume();
      run.world.runFor(1500);
      assert.deepEqual(voters(run), before);
    }
    assert.deepEqual(finishRun(run), []);
  }
});
