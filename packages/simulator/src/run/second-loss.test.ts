/** Loss of a further machine once the recovery window after a replacement is over. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type ZoneName, toZoneName } from '@switchwheel/types';
import type { ReplicationSettings } from '@switchwheel/replicated-store';
import type { SimulatedRegistry } from '../processes/registry.js';
import type { SimulatedStore } from '../processes/store.js';
import { World, type OperatorWrite } from '../world/world.js';

/** Time after a replacement from which the next loss is tolerated, and limit of an acknowledgement. */
const recoveryWindowMs = 4000;
const acknowledgeLimitMs = 4000;
const graceMs = 5000;

/** A core machine: a registry and a store, which start and fail together. */
interface Machine {
  readonly registry: SimulatedRegistry;
  readonly store: SimulatedStore;
}

type Loss = 'killed' | 'power off' | 'disk wiped' | 'frozen';
const losses: readonly Loss[] = ['killed', 'power off', 'disk wiped', 'frozen'];

/** A fleet of core machines that are replaced and lost. */
class CoreFleet {
  readonly world: World;
  readonly machines: Machine[] = [];
  readonly #acknowledgedWrites: OperatorWrite[] = [];
  #marker = 10;
  #addedCount = 0;

  constructor(
    seed: number,
    size: number,
    tolerate: number,
    zones: readonly string[] = Array.from({ length: size }, (_, index) => `zone-${index % 3}`),
    domains?: ReplicationSettings['failureDomains'],
  ) {
    this.world = new World({
      seed,
      edges: 1,
      shields: 0,
      stores: size,
      services: [],
      storeZones: zones,
      replication: {
        copies: tolerate + 2,
        tolerate,
        electorateFollowsRegistries: true,
        recoveryWindowMs,
        ...(domains === undefined ? {} : { failureDomains: domains }),
      },
    });
    this.world.bootstrap();
    for (const [index, store] of this.world.stores.entries()) {
      const registry = this.world.registries[index];
      assert.ok(registry !== undefined);
      this.machines.push({ registry, store });
    }
    this.world.runFor(6000);
    this.applyAcknowledged('initially');
  }

  get primaryMachine(): Machine {
    const primary = this.world.primary();
    const machine = this.machines.find((machine) => machine.store === primary);
    assert.ok(machine !== undefined, 'there is a primary');
    return machine;
  }

  /** A live machine that does not run the primary, by its index (modulo their number). */
  backupMachine(index: number): Machine {
    const primary = this.primaryMachine;
    const others = this.machines.filter((machine) => machine !== primary && machine.store.isAlive);
    const machine = others[index % others.length];
    assert.ok(machine !== undefined);
    return machine;
  }

  get electorate(): readonly string[] {
    const members = this.world.primary()?.state?.metadata?.electorate.members ?? [];
    return members.map((member) => member.node);
  }

  /** Asserts that a command, retried as operators do, is acknowledged in time and that all earlier ones are kept. */
  applyAcknowledged(context: string): void {
    const from = this.world.eventQueue.now;
    this.#marker += 1;
    let write = this.world.apply(this.#marker);
    const isAcknowledged = (): boolean => {
      if (write.reply?.status === 200) return true;
      const isOverdue = this.world.eventQueue.now - write.sentAt > 1000;
      if (write.reply !== undefined || isOverdue)
        write = this.world.apply(this.#marker, undefined, 'plain', write);
      return false;
    };
    const isInTime = this.world.runUntil(acknowledgeLimitMs, isAcknowledged);
    assert.ok(
      isInTime,
      `${context}: no acknowledgement after ${Math.round(this.world.eventQueue.now - from)} ms; electorate ${this.electorate.join(', ')}`,
    );
    this.#acknowledgedWrites.push(write);
    this.assertKept(context);
  }

  assertKept(context: string): void {
    const primary = this.world.primary();
    for (const write of this.#acknowledgedWrites)
      assert.ok(primary?.hasResultOf(write.id) === true, `${context}: ${write.id} is lost`);
  }

  /** Adds a machine with an empty disk. */
  add(zone: string): Machine {
    this.#addedCount += 1;
    const name = `new-${this.#addedCount}`;
    const registry = this.world.addRegistry(`${name}-registry`, this.#addedCount, zone);
    const store = this.world.addStore(name, this.#addedCount, zone);
    const machine = { registry, store };
    this.machines.push(machine);
    return machine;
  }

  /** Removes a machine for good, without notice. */
  remove(machine: Machine): void {
    this.machines.splice(this.machines.indexOf(machine), 1);
    this.world.removeRegistry(machine.registry);
    this.world.removeStore(machine.store);
  }

  /** Stops a machine gracefully and removes it; returns the time in milliseconds that this took. */
  leave(machine: Machine): number {
    const from = this.world.eventQueue.now;
    machine.registry.stop();
    machine.store.stop(graceMs);
    assert.ok(
      this.world.runUntil(graceMs + 100, () => !machine.store.isAlive),
      `${machine.store.node} ends within its grace period`,
    );
    this.remove(machine);
    return this.world.eventQueue.now - from;
  }

  injectLoss(machine: Machine, loss: Loss): void {
    for (const process of [machine.store, machine.registry])
      if (loss === 'frozen') process.freeze();
      else process.kill();
    if (loss === 'disk wiped') machine.store.disk.wipe();
  }

  /** Restarts or resumes a lost machine. */
  restore(machine: Machine, loss: Loss): void {
    for (const process of [machine.store, machine.registry])
      if (loss === 'frozen') process.resume();
      else process.start();
  }
}

const replace = (core: CoreFleet, replaced: Machine, planned: boolean): Machine => {
  const zone = replaced.store.zone;
  if (planned) core.leave(replaced);
  else core.remove(replaced);
  core.world.runFor(core.world.random.uniform(200, 1500));
  return core.add(zone);
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
    void test(`${size} core machines survive the loss of ${tolerate} after the recovery window of a ${planned ? 'planned' : 'unplanned'} replacement`, () => {
      for (const [index, loss] of losses.entries()) {
        const core = new CoreFleet(100 + size * 10 + index, size, tolerate);
        const replaced = index % 2 === 0 ? core.backupMachine(index) : core.primaryMachine;
        const replacement = replace(core, replaced, planned);
        core.world.runFor(recoveryWindowMs);
        const context = `${loss} after the replacement of ${replaced.store.node}`;
        const lost = [core.primaryMachine];
        if (tolerate > 1)
          lost.push(
            core.machines.find((machine) => machine === replacement && !lost.includes(machine)) ??
              core.backupMachine(0),
          );
        for (const machine of lost) core.injectLoss(machine, loss);
        core.applyAcknowledged(context);
        for (const machine of lost) core.restore(machine, loss);
        core.world.runFor(recoveryWindowMs);
        core.applyAcknowledged(`${context}, restored`);
        assert.deepEqual(core.world.selfReportedViolations, []);
      }
    });
  }
}

void test('three core machines survive a frozen machine after a planned and an unplanned replacement', () => {
  for (const seed of [1, 2, 3, 4, 5, 6]) {
    const core = new CoreFleet(seed, 3, 1);
    replace(core, core.backupMachine(seed), seed % 2 === 0);
    core.world.runFor(17_000);
    replace(core, core.backupMachine(seed + 1), seed % 2 !== 0);
    core.world.runFor(recoveryWindowMs);
    const frozen = seed % 3 === 0 ? core.primaryMachine : core.backupMachine(seed);
    core.injectLoss(frozen, 'frozen');
    core.applyAcknowledged('frozen');
    core.world.runFor(8000);
    core.restore(frozen, 'frozen');
    core.world.runFor(recoveryWindowMs);
    core.applyAcknowledged('resumed');
  }
});

void test('no command waits for a lease to expire while all machines leave in turn, one recovery window apart', () => {
  for (const [size, tolerate] of sizes.slice(0, 5)) {
    const core = new CoreFleet(40 + size, size, tolerate);
    for (const replaced of [...core.machines]) {
      core.leave(replaced);
      core.applyAcknowledged(`${size}: after ${replaced.store.node} left`);
      core.add(replaced.store.zone);
      core.world.runFor(recoveryWindowMs);
    }
    core.injectLoss(core.primaryMachine, 'power off');
    core.applyAcknowledged(`${size}: power off after all replacements`);
  }
});

void test('a successor serves within 300 ms after a primary is asked to stop', () => {
  for (const seed of [11, 12, 13, 14]) {
    const core = new CoreFleet(seed, 3, 1);
    const replaced = core.primaryMachine;
    core.world.runFor(core.world.random.uniform(0, 400));
    const from = core.world.eventQueue.now;
    replaced.registry.stop();
    replaced.store.stop(graceMs);
    assert.ok(
      core.world.runUntil(
        1000,
        () => core.world.primary() !== undefined && core.world.primary() !== replaced.store,
      ),
    );
    assert.ok(core.world.eventQueue.now - from < 300, `${core.world.eventQueue.now - from} ms`);
  }
});

void test('a machine with the only copy leaves once another machine has a copy', () => {
  for (const seed of [21, 22]) {
    const core = new CoreFleet(seed, 3, 1);
    const departing = core.primaryMachine;
    const others = core.machines.filter((machine) => machine !== departing);
    for (const machine of others) {
      machine.store.kill();
      machine.store.disk.wipe();
    }
    core.applyAcknowledged('with only one copy');
    for (const machine of others) machine.store.start();
    core.leave(departing);
    core.applyAcknowledged('after the machine with the only copy left');
  }
});

const zoneDomains: ReadonlyMap<ZoneName, string> = new Map();
const regionDomains: ReadonlyMap<ZoneName, string> = new Map(
  [0, 1, 2, 3, 4, 5].map((index) => [
    toZoneName(`zone-${index}`),
    `region-${Math.floor(index / 2)}`,
  ]),
);

/** Loses every machine of one domain. */
const loseDomain = (
  core: CoreFleet,
  domain: string,
  domainOfZone: ReadonlyMap<ZoneName, string>,
  loss: Loss,
): readonly Machine[] => {
  const lost = core.machines.filter(
    (machine) =>
      (domainOfZone.get(toZoneName(machine.store.zone)) ?? machine.store.zone) === domain,
  );
  for (const machine of lost) core.injectLoss(machine, loss);
  return lost;
};

for (const [domainKind, zones, domainOfZone, domains] of [
  [
    'zones',
    ['zone-0', 'zone-0', 'zone-1', 'zone-1', 'zone-2', 'zone-2'],
    zoneDomains,
    ['zone-0', 'zone-1', 'zone-2'],
  ],
  [
    'uneven zones',
    ['zone-0', 'zone-0', 'zone-0', 'zone-0', 'zone-1', 'zone-2'],
    zoneDomains,
    ['zone-0', 'zone-1', 'zone-2'],
  ],
  [
    'regions',
    ['zone-0', 'zone-1', 'zone-0', 'zone-2', 'zone-3', 'zone-4', 'zone-5'],
    regionDomains,
    ['region-0', 'region-1', 'region-2'],
  ],
] as const) {
  void test(`the loss of any of the ${domainKind} is tolerated after the recovery window of a replacement, and of another once it is restored`, () => {
    for (const [index, domain] of domains.entries()) {
      const core = new CoreFleet(300 + index, zones.length, 1, zones, {
        tolerate: 1,
        domainOfZone,
      });
      replace(core, index % 2 === 0 ? core.backupMachine(index) : core.primaryMachine, index === 1);
      core.world.runFor(recoveryWindowMs);
      const loss = losses[index % losses.length] ?? 'killed';
      const lost = loseDomain(core, domain, domainOfZone, loss);
      core.applyAcknowledged(`${domain} ${loss}`);
      core.world.runFor(8000);
      for (const machine of lost) core.restore(machine, loss);
      core.world.runFor(recoveryWindowMs);
      const secondDomain = domains[(index + 1) % domains.length] ?? domain;
      loseDomain(core, secondDomain, domainOfZone, 'power off');
      core.applyAcknowledged(`then ${secondDomain}`);
    }
  });
}
