/** A second store is lost after the fleet has recovered from the first loss. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type ZoneName, toZoneName } from '@switchwheel/types';
import type { ReplicationSettings } from '@switchwheel/replicated-store';
import type { SimulatedRegistry } from '../processes/registry.js';
import type { SimulatedStore } from '../processes/store.js';
import { World, type OperatorWrite } from '../world/world.js';

/** Within which span of a replacement the next loss is borne, and an order is acknowledged. */
const syncMs = 4000;
const ackMs = 4000;
const graceMs = 5000;

/** A core machine: a registry and a store, which start and fail together. */
interface Machine {
  readonly registry: SimulatedRegistry;
  readonly store: SimulatedStore;
}

type Loss = 'killed' | 'power off' | 'disk wiped' | 'frozen';
const losses: readonly Loss[] = ['killed', 'power off', 'disk wiped', 'frozen'];

/** A core whose machines are replaced and lost. */
class Core {
  readonly world: World;
  readonly machines: Machine[] = [];
  readonly #kept: OperatorWrite[] = [];
  #mark = 10;
  #added = 0;

  constructor(
    seed: number,
    size: number,
    tolerate: number,
    areas: readonly string[] = Array.from({ length: size }, (_, at) => `zone-${at % 3}`),
    domains?: ReplicationSettings['failureDomains'],
  ) {
    this.world = new World({
      seed,
      edges: 1,
      shields: 0,
      stores: size,
      services: [],
      storeZones: areas,
      replication: {
        copies: tolerate + 2,
        tolerate,
        electorateFollowsRegistries: true,
        recoveryWindowMs: syncMs,
        ...(domains === undefined ? {} : { failureDomains: domains }),
      },
    });
    this.world.bootstrap();
    for (const [at, store] of this.world.stores.entries()) {
      const registry = this.world.registries[at];
      assert.ok(registry !== undefined);
      this.machines.push({ registry, store });
    }
    this.world.runFor(6000);
    this.order('at first');
  }

  get primaryMachine(): Machine {
    const primary = this.world.primary();
    const found = this.machines.find((one) => one.store === primary);
    assert.ok(found !== undefined, 'a primary');
    return found;
  }

  /** The machine that is not the primary's, by its place among these. */
  backupMachine(at: number): Machine {
    const primary = this.primaryMachine;
    const others = this.machines.filter((one) => one !== primary && one.store.isAlive);
    const found = others[at % others.length];
    assert.ok(found !== undefined);
    return found;
  }

  get electorate(): readonly string[] {
    const members = this.world.primary()?.state?.metadata?.electorate.members ?? [];
    return members.map((one) => one.node);
  }

  /** An order is acknowledged in time, sent again as operators do, and all earlier ones are kept. */
  order(what: string): void {
    const from = this.world.eventQueue.now;
    this.#mark += 1;
    let write = this.world.apply(this.#mark);
    const isAcknowledged = (): boolean => {
      if (write.reply?.status === 200) return true;
      const silent = this.world.eventQueue.now - write.sentAt > 1000;
      if (write.reply !== undefined || silent)
        write = this.world.apply(this.#mark, undefined, 'plain', write);
      return false;
    };
    const acknowledged = this.world.runUntil(ackMs, isAcknowledged);
    assert.ok(
      acknowledged,
      `${what}: no acknowledgement ${Math.round(this.world.eventQueue.now - from)} ms on; electorate ${this.electorate.join(', ')}`,
    );
    this.#kept.push(write);
    this.assertKept(what);
  }

  assertKept(what: string): void {
    const primary = this.world.primary();
    for (const one of this.#kept)
      assert.ok(primary?.hasResultOf(one.id) === true, `${what}: ${one.id} is lost`);
  }

  /** A new machine with an empty disk. */
  add(area: string): Machine {
    this.#added += 1;
    const name = `new-${this.#added}`;
    const registry = this.world.addRegistry(`${name}-registry`, this.#added, area);
    const store = this.world.addStore(name, this.#added, area);
    const machine = { registry, store };
    this.machines.push(machine);
    return machine;
  }

  /** A machine is gone for good, without notice. */
  drop(machine: Machine): void {
    this.machines.splice(this.machines.indexOf(machine), 1);
    this.world.removeRegistry(machine.registry);
    this.world.removeStore(machine.store);
  }

  /** A machine is asked to stop, ends by itself and goes for good; says how long that took. */
  leave(machine: Machine): number {
    const from = this.world.eventQueue.now;
    machine.registry.stop();
    machine.store.stop(graceMs);
    assert.ok(
      this.world.runUntil(graceMs + 100, () => !machine.store.isAlive),
      `${machine.store.node} ends within its grace`,
    );
    this.drop(machine);
    return this.world.eventQueue.now - from;
  }

  lose(machine: Machine, loss: Loss): void {
    for (const actor of [machine.store, machine.registry])
      if (loss === 'frozen') actor.freeze();
      else actor.kill();
    if (loss === 'disk wiped') machine.store.disk.wipe();
  }

  /** A machine comes back as it is left by its loss. */
  restore(machine: Machine, loss: Loss): void {
    for (const actor of [machine.store, machine.registry])
      if (loss === 'frozen') actor.resume();
      else actor.start();
  }
}

const replace = (core: Core, old: Machine, planned: boolean): Machine => {
  const area = old.store.zone;
  if (planned) core.leave(old);
  else core.drop(old);
  core.world.runFor(core.world.random.uniform(200, 1500));
  return core.add(area);
};

const sizes: readonly (readonly [number, number])[] = [
  [3, 1],
  [4, 1],
  [5, 2],
  [6, 2],
  [7, 2],
  [12, 2],
];

for (const [size, tolerate] of sizes) {
  for (const planned of [false, true]) {
    void test(`${size} core machines, ${tolerate} may be lost: ${planned ? 'planned' : 'unplanned'} replacement of a backup or the primary, then as many losses as are tolerated once the span is over`, () => {
      for (const [at, loss] of losses.entries()) {
        const core = new Core(100 + size * 10 + at, size, tolerate);
        const old = at % 2 === 0 ? core.backupMachine(at) : core.primaryMachine;
        const fresh = replace(core, old, planned);
        core.world.runFor(syncMs);
        const what = `${loss} after the replacement of ${old.store.node}`;
        const lost = [core.primaryMachine];
        if (tolerate > 1)
          lost.push(
            core.machines.find((one) => one === fresh && !lost.includes(one)) ??
              core.backupMachine(0),
          );
        for (const one of lost) core.lose(one, loss);
        core.order(what);
        for (const one of lost) core.restore(one, loss);
        core.world.runFor(syncMs);
        core.order(`${what}, restored`);
        assert.deepEqual(core.world.selfReportedViolations, []);
      }
    });
  }
}

void test('three core machines: two replacements, one planned and one not, 17 s apart, then a freeze of a third', () => {
  for (const seed of [1, 2, 3, 4, 5, 6]) {
    const core = new Core(seed, 3, 1);
    replace(core, core.backupMachine(seed), seed % 2 === 0);
    core.world.runFor(17_000);
    replace(core, core.backupMachine(seed + 1), seed % 2 !== 0);
    core.world.runFor(syncMs);
    const frozen = seed % 3 === 0 ? core.primaryMachine : core.backupMachine(seed);
    core.lose(frozen, 'frozen');
    core.order('frozen');
    core.world.runFor(8000);
    core.restore(frozen, 'frozen');
    core.world.runFor(syncMs);
    core.order('thawed');
  }
});

void test('all machines leave in turn, each as soon as its predecessor has had the span: no order waits for a lease to end', () => {
  for (const [size, tolerate] of sizes.slice(0, 5)) {
    const core = new Core(40 + size, size, tolerate);
    for (const old of [...core.machines]) {
      core.leave(old);
      core.order(`${size}: after ${old.store.node} left`);
      core.add(old.store.zone);
      core.world.runFor(syncMs);
    }
    core.lose(core.primaryMachine, 'power off');
    core.order(`${size}: power off after the roll`);
  }
});

void test('a primary that leaves hands over at once: a successor serves within 300 ms', () => {
  for (const seed of [11, 12, 13, 14]) {
    const core = new Core(seed, 3, 1);
    const old = core.primaryMachine;
    core.world.runFor(core.world.random.uniform(0, 400));
    const from = core.world.eventQueue.now;
    old.registry.stop();
    old.store.stop(graceMs);
    assert.ok(
      core.world.runUntil(
        1000,
        () => core.world.primary() !== undefined && core.world.primary() !== old.store,
      ),
    );
    assert.ok(core.world.eventQueue.now - from < 300, `${core.world.eventQueue.now - from} ms`);
  }
});

void test('a machine that holds the only copy leaves when another one has it', () => {
  for (const seed of [21, 22]) {
    const core = new Core(seed, 3, 1);
    const leaver = core.primaryMachine;
    const others = core.machines.filter((one) => one !== leaver);
    for (const one of others) {
      one.store.kill();
      one.store.disk.wipe();
    }
    core.order('on one copy');
    for (const one of others) one.store.start();
    core.leave(leaver);
    core.order('without the one that had the only copy');
  }
});

const zones: ReadonlyMap<ZoneName, string> = new Map();
const regions: ReadonlyMap<ZoneName, string> = new Map(
  [0, 1, 2, 3, 4, 5].map((at) => [toZoneName(`zone-${at}`), `region-${Math.floor(at / 2)}`]),
);

/** Loses every machine of one domain. */
const loseDomain = (
  core: Core,
  domain: string,
  ofArea: ReadonlyMap<ZoneName, string>,
  loss: Loss,
): readonly Machine[] => {
  const lost = core.machines.filter(
    (one) => (ofArea.get(toZoneName(one.store.zone)) ?? one.store.zone) === domain,
  );
  for (const one of lost) core.lose(one, loss);
  return lost;
};

for (const [kind, areas, ofArea, domains] of [
  [
    'zones',
    ['zone-0', 'zone-0', 'zone-1', 'zone-1', 'zone-2', 'zone-2'],
    zones,
    ['zone-0', 'zone-1', 'zone-2'],
  ],
  [
    'uneven zones',
    ['zone-0', 'zone-0', 'zone-0', 'zone-0', 'zone-1', 'zone-2'],
    zones,
    ['zone-0', 'zone-1', 'zone-2'],
  ],
  [
    'regions',
    ['zone-0', 'zone-1', 'zone-0', 'zone-2', 'zone-3', 'zone-4', 'zone-5'],
    regions,
    ['region-0', 'region-1', 'region-2'],
  ],
] as const) {
  void test(`${kind}: after a replacement any one of them may be lost once the span is over, and another one once it is back`, () => {
    for (const [at, domain] of domains.entries()) {
      const core = new Core(300 + at, areas.length, 1, areas, {
        tolerate: 1,
        domainOfZone: ofArea,
      });
      replace(core, at % 2 === 0 ? core.backupMachine(at) : core.primaryMachine, at === 1);
      core.world.runFor(syncMs);
      const loss = losses[at % losses.length] ?? 'killed';
      const lost = loseDomain(core, domain, ofArea, loss);
      core.order(`${domain} ${loss}`);
      core.world.runFor(8000);
      for (const one of lost) core.restore(one, loss);
      core.world.runFor(syncMs);
      const next = domains[(at + 1) % domains.length] ?? domain;
      loseDomain(core, next, ofArea, 'power off');
      core.order(`then ${next}`);
    }
  });
}
