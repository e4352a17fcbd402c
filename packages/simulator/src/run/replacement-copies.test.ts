import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type ZoneName, toZoneName } from '@switchwheel/types';
import type { ReplicationSettings } from '@switchwheel/replicated-store';
import type { SimStore } from '../cast/store.js';
import type { Write } from '../world/world.js';
import { type Scene, close, scene, seeds } from './stage.js';

/** How long an order may take until it is acknowledged. */
const acknowledgeLimit = 4000;

type Limits = Partial<ReplicationSettings>;

const inSync = (run: Scene): readonly string[] =>
  run.world.primary()?.state?.metadata?.inSyncSet ?? [];

/** A fleet whose spares, too, hold what the primary holds. */
const fleet = (seed: number, stores: number, change: Limits = {}): Scene => {
  const limits: ReplicationSettings = {
    copies: 2,
    tolerate: 1,
    electorateFollowsRegistries: false,
    ...change,
  };
  const run = scene(seed, 5, { edges: 2, shields: 2, stores, limits });
  run.callers.begin();
  const wanted = Math.min(stores, limits.copies);
  assert.ok(
    run.world.until(10_000, () => inSync(run).length >= wanted),
    `in sync at first: ${inSync(run).join(', ')}`,
  );
  run.world.run(3000);
  return run;
};

const primaryOf = (run: Scene): SimStore => {
  const primary = run.world.primary();
  assert.ok(primary !== undefined, 'a primary');
  return primary;
};

const backupsOf = (run: Scene): readonly SimStore[] => {
  const primary = primaryOf(run);
  return run.world.stores.filter((one) => one !== primary && inSync(run).includes(one.node));
};

const sparesOf = (run: Scene): readonly SimStore[] =>
  run.world.stores.filter((one) => !inSync(run).includes(one.node));

const first = (stores: readonly SimStore[]): SimStore => {
  const [one] = stores;
  assert.ok(one !== undefined, 'a store');
  return one;
};

type Trouble = 'frozen' | 'cut off' | 'stalled' | 'slow' | 'full';
const troubles: readonly Trouble[] = ['frozen', 'cut off', 'stalled', 'slow', 'full'];

/** A slow disk: it makes one short step a second. */
const slowDown = (run: Scene, store: SimStore): void => {
  store.disk.mood = 'stalled';
  run.world.agenda.after(900, () => {
    store.disk.calm();
    run.world.agenda.after(100, () => slowDown(run, store));
  });
};

const strike = (run: Scene, store: SimStore, trouble: Trouble): void => {
  switch (trouble) {
    case 'frozen':
      store.freeze();
      break;
    case 'cut off':
      run.ground.isolate([store], 'both');
      break;
    case 'stalled':
      store.disk.mood = 'stalled';
      break;
    case 'slow':
      slowDown(run, store);
      break;
    case 'full':
      store.disk.mood = 'full';
      break;
  }
};

/** The machine of a store loses power and its disk. */
const wipe = (run: Scene, store: SimStore): void => {
  for (const actor of run.ground.machineOf(store)) actor.kill();
  store.disk.wipe();
};

const back = (run: Scene, store: SimStore, wait: number): void => {
  for (const actor of run.ground.machineOf(store))
    run.world.agenda.after(wait, () => actor.start());
};

/** An order that was told as taken, in time. */
const acknowledged = (run: Scene, mark: number, what: string): Write => {
  const write = run.world.apply(mark);
  assert.ok(
    run.world.until(acknowledgeLimit, () => write.told !== undefined),
    `${what}: no answer`,
  );
  assert.equal(write.told?.status, 200, `${what}: ${JSON.stringify(write.told)}`);
  return write;
};

const diskKeeps = (store: SimStore, write: Write): boolean =>
  store.disk.synced.some((one) => one.entries.some((row) => row.key === `call/${write.id}`));

/** The stores on whose disks an order is. */
const holders = (run: Scene, write: Write): readonly SimStore[] =>
  run.world.stores.filter((one) => diskKeeps(one, write));

const isKept = (run: Scene, write: Write, what: string): void => {
  assert.ok(
    run.world.until(8000, () => run.world.primary() !== undefined),
    `${what}: a primary`,
  );
  assert.ok(primaryOf(run).keeps(write.id), `${what}: ${write.id} is lost`);
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
        run.world.run(moment);
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
    backup.disk.mood = 'stalled';
    const open = run.world.apply(101);
    run.world.run(390 + at * 6);
    const isTold = open.told?.status === 200;
    wipe(run, primary);
    // Before another epoch was asked for, the stalled disk is the only one that is known to have all.
    run.world.agenda.after(4000, () => backup.disk.calm());
    isKept(run, write, `at ${at}`);
    if (isTold) isKept(run, open, `at ${at}`);
  }
});

void test('a spare that is behind is brought up while the order is open', () => {
  for (const seed of seeds(4)) {
    const run = fleet(seed, 3);
    const spare = first(sparesOf(run));
    run.ground.isolate([spare], 'both');
    for (let mark = 0; mark < 4; mark += 1) acknowledged(run, 100 + mark, 'behind');
    const primary = primaryOf(run);
    const write = run.world.apply(200);
    first(backupsOf(run)).freeze();
    run.world.net.heal();
    assert.ok(run.world.until(acknowledgeLimit, () => write.told !== undefined));
    assert.equal(write.told?.status, 200);
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
    run.world.run(moment);
    const taken = run.world.stores.find(
      (one) =>
        one !== primary &&
        !one.frozen &&
        primary.state?.candidate.inSyncSet.includes(one.node) === true,
    );
    const isConfirmed = primary.keeps(write.id);
    // Its registry runs on: the order may have been handed to it.
    const dying = taken ?? first(sparesOf(run));
    dying.kill();
    dying.disk.wipe();
    assert.ok(run.world.until(acknowledgeLimit, () => write.told !== undefined));
    assert.equal(write.told?.status, 200);
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
    run.world.agenda.after(200, () => strike(run, two, trouble));
    const write = acknowledged(run, 100, trouble);
    assert.ok(
      holders(run, write).length >= 3,
      `${trouble}: on ${holders(run, write).length} disks`,
    );
    run.world.run(300);
    const next = acknowledged(run, 101, trouble);
    assert.ok(holders(run, next).length >= 3, `${trouble}: on ${holders(run, next).length} disks`);
    wipe(run, primary);
    isKept(run, next, trouble);
  }
});

const areasWith = (run: Scene, write: Write): ReadonlySet<string> =>
  new Set(holders(run, write).map((one) => one.area));

void test('zones and regions are counted: a replacement stands where a copy is lacking', () => {
  const regions = new Map<ZoneName, string>(
    (['one', 'two', 'three', 'four'] as const).map((area) => [
      toZoneName(area),
      area === 'two' || area === 'three' ? 'east' : 'west',
    ]),
  );
  const regionOf = (store: SimStore): string => regions.get(toZoneName(store.area)) ?? '';
  for (const ofArea of [new Map<ZoneName, string>(), regions])
    for (const seed of seeds(4)) {
      const run = fleet(seed, 7, {
        copies: 2,
        failureDomains: { tolerate: 1, domainOfZone: ofArea },
      });
      const primary = primaryOf(run);
      for (const backup of backupsOf(run)) backup.disk.mood = 'stalled';
      const write = acknowledged(run, 100, `seed ${seed}`);
      assert.ok(areasWith(run, write).size >= 2, [...areasWith(run, write)].join(', '));
      const set = run.world.stores.filter((one) => inSync(run).includes(one.node));
      const domain = (one: SimStore): string => (ofArea.size === 0 ? one.area : regionOf(one));
      assert.ok(new Set(set.map(domain)).size >= 2, set.map(domain).join(', '));
      for (const store of run.world.stores) if (domain(store) === domain(primary)) wipe(run, store);
      if (holders(run, write).every((one) => !one.alive)) assert.fail(`seed ${seed}: all lost`);
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
  run.world.run(4000);
  assert.equal(inSync(run).length, 3, inSync(run).join(', '));
});

void test("only the primary's disk works: it goes on alone, says so, and takes the others in again", () => {
  for (const seed of seeds(3)) {
    const run = fleet(seed, 4, { copies: 3 });
    const primary = primaryOf(run);
    const others = run.world.stores.filter((one) => one !== primary);
    for (const [at, one] of others.entries()) one.disk.mood = at === 0 ? 'full' : 'stalled';
    const write = acknowledged(run, 100, `seed ${seed}`);
    assert.deepEqual(inSync(run), [primary.node]);
    assert.ok(
      run.world.logs.some((one) => one.includes('in-sync set reduced')),
      'it says so',
    );
    for (const one of others) one.disk.calm();
    assert.ok(run.world.until(6000, () => inSync(run).length >= 3));
    assert.ok(others.filter((one) => diskKeeps(one, write)).length >= 2);
    assert.deepEqual(close(run), []);
  }
});

void test('a backup returns with an empty disk: no order is told before two others have it', () => {
  for (const seed of seeds(4)) {
    const run = fleet(seed, 4);
    const primary = primaryOf(run);
    const lost = first(backupsOf(run));
    wipe(run, lost);
    back(run, lost, 100);
    run.world.run(run.world.chance.between(50, 600));
    const write = acknowledged(run, 100, `seed ${seed}`);
    assert.ok(holders(run, write).length >= 2, `seed ${seed}: on one disk`);
    wipe(run, primary);
    isKept(run, write, `seed ${seed}`);
  }
});
