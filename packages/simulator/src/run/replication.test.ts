/** Replicas of a write: how many there are when it is acknowledged, and what losses they bear. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { SimulatedStore } from '../processes/store.js';
import type { OperatorWrite } from '../world/world.js';
import { type Fixture, finishRun, createFixture, seedRange } from './fixture.js';

const fleet = (
  seed: number,
  change: {
    readonly stores?: number;
    readonly copies?: number;
    readonly tolerate?: number;
    readonly follow?: boolean;
    readonly shields?: number;
  } = {},
): Fixture => {
  const { stores = 3, copies = 3, tolerate = 1, follow = false, shields = 2 } = change;
  const run = createFixture(seed, 5, {
    edges: 2,
    shields,
    stores,
    replication: { copies, tolerate, electorateFollowsRegistries: follow },
  });
  run.callers.start();
  assert.ok(
    run.world.runUntil(10_000, () => inSync(run).length === copies),
    `in sync at first: ${inSync(run).join(', ')}`,
  );
  return run;
};

const inSync = (run: Fixture): readonly string[] =>
  run.world.primary()?.state?.metadata?.inSyncSet ?? [];

/** A write that was confirmed, with nothing having happened since. */
const confirmed = (run: Fixture, mark: number): OperatorWrite => {
  for (let turn = 0; turn < 6; turn += 1) {
    const write = run.world.apply(mark * 10 + turn);
    run.world.runUntil(9000, () => write.reply !== undefined);
    if (write.reply?.status === 200) return write;
  }
  throw new Error(`no write was taken: ${run.world.logs.slice(-5).join('; ')}`);
};

/** The machine of a store loses power, and its disk if it is said. */
const powerOff = (run: Fixture, store: SimulatedStore, wiped: boolean): void => {
  for (const actor of run.faults.processesOnMachineOf(store)) actor.kill();
  if (wiped) store.disk.wipe();
};

const powerOn = (run: Fixture, store: SimulatedStore, wait: number): void => {
  for (const actor of run.faults.processesOnMachineOf(store))
    run.world.eventQueue.schedule(wait, () => actor.start());
};

const allOff = (run: Fixture): void => {
  for (const actor of run.world.allProcesses) actor.kill();
};
const allOn = (run: Fixture): void => {
  for (const actor of run.world.allProcesses)
    run.world.eventQueue.schedule(run.world.random.uniform(10, 1000), () => actor.start());
};

/** What was confirmed is there, and the fleet takes writes and is whole again. */
const keptAll = (
  run: Fixture,
  writes: readonly OperatorWrite[],
  copies: number,
  what: string,
): void => {
  assert.ok(
    run.world.runUntil(15_000, () => run.world.primary() !== undefined),
    `${what}: a primary`,
  );
  for (const one of writes)
    assert.ok(run.world.primary()?.hasResultOf(one.id) === true, `${what}: ${one.id} is lost`);
  confirmed(run, 9000 + run.faults.nextNumber());
  assert.ok(
    run.world.runUntil(10_000, () => inSync(run).length === copies),
    `${what}: in sync again: ${inSync(run).join(', ')}`,
  );
  for (const one of writes)
    assert.ok(
      run.world.primary()?.hasResultOf(one.id) === true,
      `${what}: ${one.id} is lost later`,
    );
};

void test('three copies: a write is told only when each store in sync has it', () => {
  for (const seed of seedRange(3)) {
    const run = fleet(seed);
    for (let turn = 0; turn < 5; turn += 1) {
      const write = confirmed(run, 100 + turn);
      assert.deepEqual(
        run.world.stores.map((one) => one.hasResultOf(write.id)),
        [true, true, true],
      );
      run.world.runFor(300);
    }
    assert.deepEqual(finishRun(run), []);
  }
});

void test('the primary is killed right after it told: one of the two others goes on, with the write', () => {
  for (const seed of seedRange(6)) {
    const run = fleet(seed);
    const write = confirmed(run, 100);
    const primary = run.world.primary();
    assert.ok(primary !== undefined);
    powerOff(run, primary, seed % 2 === 0);
    assert.ok(
      run.world.runUntil(2500, () => run.world.primary() !== undefined),
      'two candidates come to terms',
    );
    powerOn(run, primary, 500);
    keptAll(run, [write], 3, `seed ${seed}`);
    assert.deepEqual(finishRun(run), []);
  }
});

void test('each disk and each pair of disks lost right after a write was told, while the others run on or lose power too', () => {
  const sets = [[0], [1], [2], [0, 1], [0, 2], [1, 2]];
  for (const power of ['on', 'off'] as const) {
    for (const [at, lost] of sets.entries()) {
      const run = fleet(200 + at, { tolerate: 2 });
      const write = confirmed(run, 100);
      if (power === 'off') allOff(run);
      for (const one of lost) {
        const store = run.world.stores[one];
        assert.ok(store !== undefined);
        powerOff(run, store, true);
      }
      if (power === 'off') allOn(run);
      else
        for (const one of run.world.stores) powerOn(run, one, run.world.random.uniform(100, 900));
      keptAll(run, [write], 3, `power ${power}, lost ${lost.join(' and ')}`);
      assert.deepEqual(finishRun(run), []);
    }
  }
});

void test('everything is killed at once, again and again: what was told is there', () => {
  for (const seed of seedRange(3)) {
    const run = fleet(seed);
    const writes: OperatorWrite[] = [];
    for (let turn = 0; turn < 3; turn += 1) {
      writes.push(confirmed(run, 100 + turn));
      allOff(run);
      allOn(run);
      keptAll(run, writes, 3, `turn ${turn}`);
      run.world.runFor(1000);
    }
    assert.deepEqual(finishRun(run), []);
  }
});

void test('a machine is gone for good as all others lose power: the rest stands without it, and a new one takes its place', () => {
  for (const gone of [0, 1, 2]) {
    const run = fleet(300 + gone);
    const write = confirmed(run, 100);
    const store = run.world.stores[gone];
    assert.ok(store !== undefined);
    allOff(run);
    run.world.removeStore(store);
    allOn(run);
    assert.ok(
      run.world.runUntil(15_000, () => run.world.primary()?.hasResultOf(write.id) === true),
    );
    const fresh = run.world.addStore('store-9', 9);
    assert.ok(
      run.world.runUntil(5000, () => inSync(run).includes(fresh.node)),
      'the new one is in sync',
    );
    assert.ok(
      run.world.runUntil(20_000, () => {
        run.world.runFor(500);
        return (
          run.world.primary()?.state?.metadata?.stores.some((one) => one.node === store.node) ===
          false
        );
      }) || inSync(run).length === 3,
    );
    keptAll(run, [write], 3, `without ${store.node}`);
    assert.deepEqual(finishRun(run), []);
  }
});

void test('machines are replaced one after the other by new ones: three copies again within four seconds of each, the state outlives all of the first', () => {
  for (const seed of seedRange(2)) {
    const run = fleet(seed);
    const write = confirmed(run, 100);
    for (const [at, old] of [...run.world.stores].entries()) {
      run.world.removeStore(old);
      const fresh = run.world.addStore(`store-${at + 11}`, at + 11);
      assert.ok(
        run.world.runUntil(
          4000,
          () =>
            inSync(run).includes(fresh.node) &&
            inSync(run).length === 3 &&
            !inSync(run).includes(old.node),
        ),
        `${fresh.node}: ${inSync(run).join(', ')}`,
      );
    }
    keptAll(run, [write], 3, `seed ${seed}`);
    assert.deepEqual(finishRun(run), []);
  }
});

void test('a primary is frozen past its lease and wakes: what the others confirmed stays, and it follows them', () => {
  for (const seed of seedRange(4)) {
    const run = fleet(seed);
    const before = confirmed(run, 100);
    const frozen = run.world.primary();
    assert.ok(frozen !== undefined);
    const caught = run.world.apply(500);
    run.world.runFor(seed % 2 === 0 ? 3 : 12);
    frozen.freeze();
    run.world.runFor(2500);
    assert.ok(run.world.primary() !== frozen);
    const after = confirmed(run, 101);
    frozen.resume();
    run.world.runFor(3000);
    assert.ok(caught.reply?.status !== 200 || run.world.primary()?.hasResultOf(caught.id) === true);
    keptAll(run, [before, after], 3, `seed ${seed}`);
    assert.ok(frozen.hasResultOf(after.id), 'it has what was written while it slept');
    assert.deepEqual(finishRun(run), []);
  }
});

void test('a backup dies: a spare takes its place within four seconds, and one by one the disks of all who had it at first may go', () => {
  for (const seed of seedRange(3)) {
    const run = fleet(seed, { stores: 5, copies: 2 });
    const write = confirmed(run, 100);
    for (let turn = 0; turn < 4; turn += 1) {
      const lost = run.world.stores.find(
        (one) =>
          inSync(run).includes(one.node) && (turn % 2 === 0) === (one === run.world.primary()),
      );
      assert.ok(lost !== undefined);
      powerOff(run, lost, true);
      assert.ok(
        run.world.runUntil(
          4000,
          () => inSync(run).length === 2 && !inSync(run).includes(lost.node),
        ),
        `turn ${turn}: ${inSync(run).join(', ')}`,
      );
      assert.ok(run.world.primary()?.hasResultOf(write.id) === true);
      powerOn(run, lost, 100);
    }
    keptAll(run, [write], 2, `seed ${seed}`);
    assert.deepEqual(finishRun(run), []);
  }
});

void test('a spare in an area without a copy is mended first', () => {
  for (const seed of seedRange(2)) {
    // Areas go round by four: the fifth store stands in the area of the first.
    const run = fleet(seed, { stores: 5, copies: 3 });
    for (let turn = 0; turn < 3; turn += 1) {
      const lost = run.world.stores.find(
        (one) => inSync(run).includes(one.node) && one !== run.world.primary(),
      );
      assert.ok(lost !== undefined);
      powerOff(run, lost, false);
      assert.ok(
        run.world.runUntil(
          4000,
          () => inSync(run).length === 3 && !inSync(run).includes(lost.node),
        ),
      );
      const areas = run.world.stores
        .filter((one) => inSync(run).includes(one.node))
        .map((one) => one.zone);
      assert.equal(new Set(areas).size, 3, areas.join(', '));
      powerOn(run, lost, 100);
      run.world.runFor(1500);
    }
    assert.deepEqual(finishRun(run), []);
  }
});

void test('a spare whose disk takes nothing does not keep the others from being mended', () => {
  for (const mood of ['stalled', 'full'] as const) {
    const run = fleet(401, { stores: 4, copies: 2 });
    const [sick, well] = run.world.stores.filter((one) => !inSync(run).includes(one.node));
    assert.ok(sick !== undefined && well !== undefined);
    sick.disk.condition = mood;
    const lost = run.world.stores.find(
      (one) => inSync(run).includes(one.node) && one !== run.world.primary(),
    );
    assert.ok(lost !== undefined);
    powerOff(run, lost, false);
    assert.ok(
      run.world.runUntil(10_000, () => inSync(run).includes(well.node)),
      `${mood}: ${inSync(run).join(', ')}`,
    );
    sick.disk.recover();
    assert.deepEqual(finishRun(run), []);
  }
});

void test('lost write: a backup that was left out does not stand while one that was not may still speak, though no voter remembers', () => {
  for (const seed of seedRange(3)) {
    const run = fleet(seed);
    const primary = run.world.primary();
    const [left, stayed] = run.world.stores.filter((one) => one !== primary);
    assert.ok(primary !== undefined && left !== undefined && stayed !== undefined);
    run.faults.isolate(run.faults.processesOnMachineOf(left), 'both');
    const write = confirmed(run, 100);
    assert.ok(inSync(run).length === 2);
    allOff(run);
    run.world.network.heal();
    for (const actor of run.world.allProcesses)
      if (actor !== primary && actor !== stayed)
        run.world.eventQueue.schedule(run.world.random.uniform(10, 1000), () => actor.start());
    for (let turn = 0; turn < 80; turn += 1) {
      run.world.runFor(100);
      assert.equal(run.world.primary(), undefined, 'nobody serves without the last write');
    }
    // One of the two that have it is enough, and the other's disk is gone.
    primary.disk.wipe();
    primary.start();
    stayed.start();
    assert.ok(run.world.runUntil(8000, () => run.world.primary() === stayed));
    keptAll(run, [write], 3, `seed ${seed}`);
    assert.deepEqual(finishRun(run), []);
  }
});

void test('a long row of losses, one after the other: no confirmed write is ever lost', () => {
  for (const seed of seedRange(4)) {
    const run = fleet(seed, { stores: 5, copies: 3, tolerate: 2 });
    const writes: OperatorWrite[] = [];
    for (let turn = 0; turn < 12; turn += 1) {
      writes.push(confirmed(run, 100 + turn));
      const what =
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
      const members = run.world.stores.filter((one) => inSync(run).includes(one.node));
      const one = run.world.random.pick(members);
      const two = run.world.random.pick(members.filter((other) => other !== one));
      assert.ok(one !== undefined && two !== undefined);
      run.world.runFor(run.world.random.uniform(0, 20));
      if (what === 'kill' || what === 'wipe' || what === 'pair') {
        powerOff(run, one, what !== 'kill');
        if (what === 'pair') powerOff(run, two, true);
      } else if (what === 'freeze') {
        one.freeze();
        run.world.eventQueue.schedule(run.world.random.uniform(300, 4000), () => one.resume());
      } else if (what === 'cut') {
        run.faults.isolate(run.faults.processesOnMachineOf(one), 'both');
        run.world.eventQueue.schedule(run.world.random.uniform(300, 4000), () =>
          run.world.network.heal(),
        );
      } else if (what === 'stall' || what === 'full') {
        one.disk.condition = what === 'stall' ? 'stalled' : 'full';
        run.world.eventQueue.schedule(run.world.random.uniform(300, 4000), () =>
          one.disk.recover(),
        );
      } else {
        allOff(run);
        if (what === 'all and wipe') for (const store of [one, two]) store.disk.wipe();
        allOn(run);
      }
      run.world.runFor(run.world.random.uniform(100, 900));
      for (const store of run.world.stores)
        if (!store.isAlive) powerOn(run, store, run.world.random.uniform(10, 2000));
      run.world.runFor(4500);
      keptAll(run, writes, 3, `seed ${seed}, turn ${turn}, ${what}`);
    }
    assert.deepEqual(finishRun(run), []);
  }
});

const seats = (run: Fixture): readonly string[] =>
  [
    ...(run.world.primary()?.state?.metadata?.electorate.members.map((one) => one.node) ?? []),
  ].sort();

void test('the electorate follows the registries: all are replaced one after the other without an operator, and the new ones elect', () => {
  for (const seed of seedRange(2)) {
    const run = fleet(seed, { follow: true });
    const write = confirmed(run, 100);
    const before = seats(run);
    for (const [at, gone] of [...run.world.registries].entries()) {
      const fresh = run.world.addRegistry(`new-${at + 1}`, at + 1);
      assert.ok(
        run.world.runUntil(4000, () => seats(run).includes(fresh.node)),
        `${fresh.node} has a seat`,
      );
      run.world.removeRegistry(gone);
      assert.ok(
        run.world.runUntil(
          4000,
          () => seats(run).length === before.length && !seats(run).includes(gone.node),
        ),
        `${gone.node} has none: ${seats(run).join(', ')}`,
      );
    }
    assert.deepEqual(seats(run), run.world.registries.map((one) => one.node).sort());
    const primary = run.world.primary();
    primary?.kill();
    assert.ok(run.world.runUntil(2500, () => run.world.primary() !== undefined));
    primary?.start();
    keptAll(run, [write], 3, `seed ${seed}`);
    assert.deepEqual(finishRun(run), []);
  }
});

void test('the electorate stays as it is without the setting, whoever comes or is away', () => {
  const run = fleet(500);
  const before = seats(run);
  const [away] = run.world.registries;
  assert.ok(away !== undefined);
  run.world.addRegistry('new-1', 1);
  away.kill();
  for (let turn = 0; turn < 20; turn += 1) {
    run.world.runFor(1000);
    assert.deepEqual(seats(run), before);
  }
  away.start();
  run.world.runFor(6000);
  assert.deepEqual(seats(run), before);
  assert.deepEqual(finishRun(run), []);
});

void test('a dead voter of an odd electorate keeps its seat, as nothing is won without it; of two dead ones both lose theirs within four seconds, and each has one again four seconds after it is back', () => {
  const run = fleet(501, { follow: true });
  const before = seats(run);
  assert.equal(before.length, 5);
  const [first, second] = run.world.registries;
  assert.ok(first !== undefined && second !== undefined);
  first.kill();
  for (let turn = 0; turn < 20; turn += 1) {
    run.world.runFor(1000);
    assert.deepEqual(seats(run), before);
  }
  second.kill();
  run.world.runFor(4000);
  const without = before.filter((one) => one !== first.node && one !== second.node);
  assert.deepEqual(seats(run), without);
  for (const one of [first, second]) {
    one.start();
    run.world.runFor(4000);
    assert.ok(seats(run).includes(one.node), `${one.node} votes again`);
  }
  assert.deepEqual(seats(run), before);
  assert.deepEqual(finishRun(run), []);
});

void test('a voter that is away for less than a second and a half keeps its seat, whatever the size of the electorate', () => {
  for (const shields of [1, 2]) {
    const run = fleet(502 + shields, { follow: true, shields });
    const before = seats(run);
    const [away] = run.world.registries;
    assert.ok(away !== undefined);
    for (let turn = 0; turn < 3; turn += 1) {
      away.freeze();
      run.world.runFor(1200);
      assert.deepEqual(seats(run), before);
      away.resume();
      run.world.runFor(1500);
      assert.deepEqual(seats(run), before);
    }
    assert.deepEqual(finishRun(run), []);
  }
});
