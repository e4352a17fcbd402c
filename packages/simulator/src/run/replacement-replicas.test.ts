import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type ZoneName, toZoneName } from '@switchwheel/types';
import type { ReplicationSettings } from '@switchwheel/replicated-store';
import type { SimulatedStore } from '../processes/store.js';
import type { OperatorWrite } from '../world/world.js';
import { type Fixture, finishRun, createFixture, seedRange } from './fixture.js';

/** How long an order may take until it is acknowledged. */
const acknowledgeLimit = 4000;

type Limits = Partial<ReplicationSettings>;

const inSync = (run: Fixture): readonly string[] =>
  run.world.primary()?.state?.metadata?.inSyncSet ?? [];

/** A fleet whose spares, too, hold what the primary holds. */
const fleet = (seed: number, stores: number, change: Limits = {}): Fixture => {
  const limits: ReplicationSettings = {
    copies: 2,
    tolerate: 1,
    electorateFollowsRegistries: false,
    ...change,
  };
  const run = createFixture(seed, 5, { edges: 2, shields: 2, stores, replication: limits });
  run.callers.start();
  const wanted = Math.min(stores, limits.copies);
  assert.ok(
    run.world.runUntil(10_000, () => inSync(run).length >= wanted),
    `in sync at first: ${inSync(run).join(', ')}`,
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
  return run.world.stores.filter((one) => one !== primary && inSync(run).includes(one.node));
};

const sparesOf = (run: Fixture): readonly SimulatedStore[] =>
  run.world.stores.filter((one) => !inSync(run).includes(one.node));

const first = (stores: readonly SimulatedStore[]): SimulatedStore => {
  const [one] = stores;
  assert.ok(one !== undefined, 'a store');
  return one;
};

type Trouble = 'frozen' | 'cut off' | 'stalled' | 'slow' | 'full';
const troubles: readonly Trouble[] = ['frozen', 'cut off', 'stalled', 'slow', 'full'];

/** A slow disk: it makes one short step a second. */
const slowDown = (run: Fixture, store: SimulatedStore): void => {
  store.disk.condition = 'stalled';
  run.world.eventQueue.schedule(900, () => {
    store.disk.recover();
    run.world.eventQueue.schedule(100, () => slowDown(run, store));
  });
};

const strike = (run: Fixture, store: SimulatedStore, trouble: Trouble): void => {
  switch (trouble) {
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
      slowDown(run, store);
      break;
    case 'full':
      store.disk.condition = 'full';
      break;
  }
};

/** The machine of a store loses power and its disk. */
const wipe = (run: Fixture, store: SimulatedStore): void => {
  for (const actor of run.faults.processesOnMachineOf(store)) actor.kill();
  store.disk.wipe();
};

const back = (run: Fixture, store: SimulatedStore, wait: number): void => {
  for (const actor of run.faults.processesOnMachineOf(store))
    run.world.eventQueue.schedule(wait, () => actor.start());
};

/** An order that was told as taken, in time. */
const acknowledged = (run: Fixture, mark: number, what: string): OperatorWrite => {
  const write = run.world.apply(mark);
  assert.ok(
    run.world.runUntil(acknowledgeLimit, () => write.reply !== undefined),
    `${what}: no answer`,
  );
  assert.equal(write.reply?.status, 200, `${what}: ${JSON.stringify(write.reply)}`);
  return write;
};

const diskKeeps = (store: SimulatedStore, write: OperatorWrite): boolean =>
  store.disk.synced.some((one) => one.entries.some((row) => row.key === `call/${write.id}`));

/** The stores on whose disks an order is. */
const holders = (run: Fixture, write: OperatorWrite): readonly SimulatedStore[] =>
  run.world.stores.filter((one) => diskKeeps(one, write));

const isKept = (run: Fixture, write: OperatorWrite, what: string): void => {
  assert.ok(
    run.world.runUntil(8000, () => run.world.primary() !== undefined),
    `${what}: a primary`,
  );
  assert.ok(primaryOf(run).hasResultOf(write.id), `${what}: ${write.id} is lost`);
};

for (const trouble of troubles)
  void test(`a backup is ${trouble}: an order is told on two disks at least, and the primary's may be wiped`, () => {
    for (const stores of [3, 4, 7])
      for (const [at, moment] of [0, 60, 350, 700].entries()) {
        const run = fleet(1000 + stores * 10 + at, stores);
        const what = `${stores} stores, ${moment} ms`;
        const sick = first(backupsOf(run));
        const primary = primaryOf(run);
        strike(run, sick, trouble);
        run.world.runFor(moment);
        const write = acknowledged(run, 100, what);
        assert.ok(holders(run, write).length >= 2, `${what}: on one disk`);
        wipe(run, primary);
        isKept(run, write, what);
      }
  });

void test('the primary is wiped at each moment while a backup is replaced: a primary comes, with all that was told', () => {
  for (let at = 0; at < 24; at += 1) {
    const run = fleet(2000 + at, 4);
    const write = acknowledged(run, 100, 'before');
    const primary = primaryOf(run);
    const backup = first(backupsOf(run));
    backup.disk.condition = 'stalled';
    const open = run.world.apply(101);
    run.world.runFor(390 + at * 6);
    const isTold = open.reply?.status === 200;
    wipe(run, primary);
    // Before another epoch was asked for, the stalled disk is the only one that is known to have all.
    run.world.eventQueue.schedule(4000, () => backup.disk.recover());
    isKept(run, write, `at ${at}`);
    if (isTold) isKept(run, open, `at ${at}`);
  }
});

void test('a spare that is behind is brought up while the order is open', () => {
  for (const seed of seedRange(4)) {
    const run = fleet(seed, 3);
    const spare = first(sparesOf(run));
    run.faults.isolate([spare], 'both');
    for (let mark = 0; mark < 4; mark += 1) acknowledged(run, 100 + mark, 'behind');
    const primary = primaryOf(run);
    const write = run.world.apply(200);
    first(backupsOf(run)).freeze();
    run.world.network.heal();
    assert.ok(run.world.runUntil(acknowledgeLimit, () => write.reply !== undefined));
    assert.equal(write.reply?.status, 200);
    assert.ok(holders(run, write).length >= 2, `seed ${seed}: on one disk`);
    wipe(run, primary);
    isKept(run, write, `seed ${seed}`);
  }
});

void test('a spare dies while it is taken in: the next one is', () => {
  for (const [at, moment] of [395, 410, 425, 440, 460].entries()) {
    const run = fleet(3000 + at, 5);
    const primary = primaryOf(run);
    first(backupsOf(run)).freeze();
    const write = run.world.apply(100);
    run.world.runFor(moment);
    const taken = run.world.stores.find(
      (one) =>
        one !== primary &&
        !one.isFrozen &&
        primary.state?.candidate.inSyncSet.includes(one.node) === true,
    );
    const isConfirmed = primary.hasResultOf(write.id);
    // Its registry runs on: the order may have been handed to it.
    const dying = taken ?? first(sparesOf(run));
    dying.kill();
    dying.disk.wipe();
    assert.ok(run.world.runUntil(acknowledgeLimit, () => write.reply !== undefined));
    assert.equal(write.reply?.status, 200);
    // The disk that was lost after the confirmation is the one loss that is tolerated.
    if (!isConfirmed) {
      assert.ok(holders(run, write).length >= 2, `moment ${moment}: on one disk`);
      wipe(run, primary);
    }
    isKept(run, write, `moment ${moment}`);
  }
});

void test('two backups of three copies are in trouble, one after the other: three copies again before an order is told', () => {
  for (const [at, trouble] of troubles.entries()) {
    const run = fleet(4000 + at, 6, { copies: 3, tolerate: 2 });
    const primary = primaryOf(run);
    const [one, two] = backupsOf(run);
    assert.ok(one !== undefined && two !== undefined);
    strike(run, one, trouble);
    run.world.eventQueue.schedule(200, () => strike(run, two, trouble));
    const write = acknowledged(run, 100, trouble);
    assert.ok(
      holders(run, write).length >= 3,
      `${trouble}: on ${holders(run, write).length} disks`,
    );
    run.world.runFor(300);
    const next = acknowledged(run, 101, trouble);
    assert.ok(holders(run, next).length >= 3, `${trouble}: on ${holders(run, next).length} disks`);
    wipe(run, primary);
    isKept(run, next, trouble);
  }
});

const areasWith = (run: Fixture, write: OperatorWrite): ReadonlySet<string> =>
  new Set(holders(run, write).map((one) => one.zone));

void test('zones and regions are counted: a replacement stands where a copy is lacking', () => {
  const regions = new Map<ZoneName, string>(
    (['one', 'two', 'three', 'four'] as const).map((area) => [
      toZoneName(area),
      area === 'two' || area === 'three' ? 'east' : 'west',
    ]),
  );
  const regionOf = (store: SimulatedStore): string => regions.get(toZoneName(store.zone)) ?? '';
  for (const ofArea of [new Map<ZoneName, string>(), regions])
    for (const seed of seedRange(4)) {
      const run = fleet(seed, 7, {
        copies: 2,
        failureDomains: { tolerate: 1, domainOfZone: ofArea },
      });
      const primary = primaryOf(run);
      for (const backup of backupsOf(run)) backup.disk.condition = 'stalled';
      const write = acknowledged(run, 100, `seed ${seed}`);
      assert.ok(areasWith(run, write).size >= 2, [...areasWith(run, write)].join(', '));
      const set = run.world.stores.filter((one) => inSync(run).includes(one.node));
      const domain = (one: SimulatedStore): string =>
        ofArea.size === 0 ? one.zone : regionOf(one);
      assert.ok(new Set(set.map(domain)).size >= 2, set.map(domain).join(', '));
      for (const store of run.world.stores) if (domain(store) === domain(primary)) wipe(run, store);
      if (holders(run, write).every((one) => !one.isAlive)) assert.fail(`seed ${seed}: all lost`);
    }
});

void test('a domain that is lacking is not made up for by more copies in the others', () => {
  const ofArea = new Map<ZoneName, string>(
    (['one', 'two', 'three', 'four'] as const).map((area) => [toZoneName(area), 'same']),
  );
  const run = fleet(5000, 6, { copies: 3, failureDomains: { tolerate: 1, domainOfZone: ofArea } });
  // At first the operator names all stores; one loss later there are as many as are wanted.
  for (const backup of backupsOf(run).slice(0, -1)) backup.freeze();
  acknowledged(run, 100, 'one region');
  run.world.runFor(4000);
  assert.equal(inSync(run).length, 3, inSync(run).join(', '));
});

void test("only the primary's disk works: it goes on alone, says so, and takes the others in again", () => {
  for (const seed of seedRange(3)) {
    const run = fleet(seed, 4, { copies: 3 });
    const primary = primaryOf(run);
    const others = run.world.stores.filter((one) => one !== primary);
    for (const [at, one] of others.entries()) one.disk.condition = at === 0 ? 'full' : 'stalled';
    const write = acknowledged(run, 100, `seed ${seed}`);
    assert.deepEqual(inSync(run), [primary.node]);
    assert.ok(
      run.world.logs.some((one) => one.includes('fewer copies')),
      'it says so',
    );
    for (const one of others) one.disk.recover();
    assert.ok(run.world.runUntil(6000, () => inSync(run).length >= 3));
    assert.ok(others.filter((one) => diskKeeps(one, write)).length >= 2);
    assert.deepEqual(finishRun(run), []);
  }
});

void test('a backup returns with an empty disk: no order is told before two others have it', () => {
  for (const seed of seedRange(4)) {
    const run = fleet(seed, 4);
    const primary = primaryOf(run);
    const lost = first(backupsOf(run));
    wipe(run, lost);
    back(run, lost, 100);
    run.world.runFor(run.world.random.uniform(50, 600));
    const write = acknowledged(run, 100, `seed ${seed}`);
    assert.ok(holders(run, write).length >= 2, `seed ${seed}: on one disk`);
    wipe(run, primary);
    isKept(run, write, `seed ${seed}`);
  }
});
