import { type Address, toCommandId, toRelease } from '@switchwheel/types';
import type { SimulatedCallers } from '../processes/callers.js';
import type { SimulatedOrigin } from '../processes/origin.js';
import type { SimulatedProcess } from '../world/process.js';
import type { SimulatedOperators } from '../history/operators.js';
import type { World } from '../world/world.js';
import type { RuleChecker } from '../rules/rule-checker.js';
import { SimulatedProxy } from '../processes/proxy.js';
import { SimulatedStore } from '../processes/store.js';
import { windowSum } from '@switchwheel/proxy-core';
import { goodConditions, lossyConditions, slowConditions } from '../world/network.js';

/** What a run may do to a fleet. */
export interface Fault {
  readonly name: string;
  /** How often it is picked beside the others. */
  readonly weight: number;
  readonly cause: (ground: FaultContext) => void;
}

/** How long after trouble with the core the next one may come. */
const coreRecoveryMs = 3000;

/** The ground on which faults are caused: what they share and must not do at once. */
export class FaultContext {
  readonly world: World;
  readonly ruleChecker: RuleChecker;
  /** When the last trouble with a machine that has a disk ends. */
  #diskFreeAt = 0;
  #coreFreeAt = 0;
  #lastRelease = 1;
  readonly done = new Map<string, number>();
  trace: ((text: string) => void) | undefined;
  /** Operators whose orders are recorded and judged; only where a run has them. */
  operators: SimulatedOperators | undefined;

  readonly callers: SimulatedCallers;
  #lastSerial = 0;

  constructor(world: World, rules: RuleChecker, callers: SimulatedCallers) {
    this.world = world;
    this.ruleChecker = rules;
    this.callers = callers;
  }

  nextSerial(): number {
    this.#lastSerial += 1;
    return this.#lastSerial;
  }

  log(text: string): void {
    this.trace?.(`${Math.round(this.world.eventQueue.now)} ${text}`);
  }

  randomMs(low: number, high: number): number {
    return this.world.random.uniform(low, high);
  }

  /** One machine with a disk has trouble at a time, and the next only once the pair is whole again. */
  reserveDiskFault(durationMs: number): SimulatedStore | undefined {
    const { world } = this;
    if (world.eventQueue.now < this.#diskFreeAt || world.eventQueue.now < this.#coreFreeAt)
      return undefined;
    const primary = world.primary();
    if (
      primary?.state?.metadata?.inSyncSet.length !== 2 ||
      !world.stores.every((one) => one.isAlive && !one.isFrozen)
    )
      return undefined;
    this.#diskFreeAt = world.eventQueue.now + durationMs + 3000;
    return world.random.pick(world.stores);
  }

  /** One trouble with the whole core at a time. */
  reserveCoreFault(durationMs: number): boolean {
    if (
      this.world.eventQueue.now < this.#coreFreeAt ||
      this.world.eventQueue.now < this.#diskFreeAt
    )
      return false;
    this.#coreFreeAt = this.world.eventQueue.now + durationMs + coreRecoveryMs;
    return true;
  }

  /** Trouble with a whole place: with a disk and with the core at once. */
  reserveZoneFault(durationMs: number): SimulatedStore | undefined {
    const store = this.reserveDiskFault(durationMs);
    if (store !== undefined)
      this.#coreFreeAt = this.world.eventQueue.now + durationMs + coreRecoveryMs;
    return store;
  }

  newRelease(): string {
    this.#lastRelease += 1;
    return `r${this.#lastRelease}`;
  }

  /** Everything on one machine. */
  processesOnMachineOf(actor: SimulatedProcess): readonly SimulatedProcess[] {
    const name = actor.node.replace(/-registry$/, '');
    return this.world.allProcesses.filter(
      (one) => one.node === name || one.node === `${name}-registry`,
    );
  }

  /** Cuts some actors off from all others, both ways or one. */
  isolate(actors: readonly SimulatedProcess[], way: 'both' | 'out' | 'in'): void {
    for (const one of actors) {
      for (const other of this.world.allProcesses) {
        if (actors.includes(other)) continue;
        if (way !== 'in') this.world.network.cut(one.node, other.node);
        if (way !== 'out') this.world.network.cut(other.node, one.node);
      }
    }
  }
}

const restartAfter = (ground: FaultContext, actor: SimulatedProcess, span: number): void =>
  ground.world.eventQueue.schedule(span, () => actor.start());

/** Whether a store has written what its operator was not told yet. */
const hasUnansweredWrite = ({ world }: FaultContext, store: SimulatedStore): boolean =>
  world.writes.some((one) => one.reply === undefined && store.hasResultOf(one.id));

/** Notes what losing a process just now puts to the test. */
const recordLossCoverage = (ground: FaultContext, actor: SimulatedProcess): void => {
  const { world } = ground;
  if (actor instanceof SimulatedStore) {
    const primary = world.primary() === actor;
    const fresh = world.writes.some(
      (one) => one.reply?.status === 200 && world.eventQueue.now - one.reply.at < 1000,
    );
    if (primary && fresh) world.coverage.record('R4: a primary was lost just after it accepted');
    if (actor.writePhase === 'disk') world.coverage.record('a write was cut before its sync');
    if (actor.writePhase === 'copy') world.coverage.record('a write was cut between the two disks');
    if (primary && hasUnansweredWrite(ground, actor))
      world.coverage.record('a write was cut before its answer');
  }
  if (!(actor instanceof SimulatedProxy)) return;
  for (const name of actor.state?.activeLeaders.values() ?? []) {
    const keeper = actor.state?.leaders.get(name);
    if (keeper === undefined) continue;
    if ([...keeper.canaries.values()].some((one) => one.state === 'trial'))
      world.coverage.record('R10: a keeper was lost during a trial');
    if (windowSum(keeper.recentExtraAttempts, actor.clock) > 5)
      world.coverage.record('R8: a keeper was lost with extra legs just sent');
  }
};

const killFor = (ground: FaultContext, actor: SimulatedProcess, span: number): void => {
  recordLossCoverage(ground, actor);
  ground.log(`kill ${actor.node} for ${Math.round(span)}`);
  actor.kill();
  restartAfter(ground, actor, span);
};

const freezeFor = (ground: FaultContext, actor: SimulatedProcess, span: number): void => {
  recordLossCoverage(ground, actor);
  ground.log(`freeze ${actor.node} for ${Math.round(span)}`);
  actor.freeze();
  ground.world.eventQueue.schedule(span, () => actor.wake());
};

/** A planned stop: a warning, then the platform's hard stop six seconds later. */
export const stopProxy = (ground: FaultContext, proxy: SimulatedProxy): void => {
  if (!proxy.isAlive || proxy.isFrozen) return;
  ground.log(`stop ${proxy.node}`);
  const { eventQueue } = ground.world;
  const { incarnationNumber } = proxy;
  proxy.stop(() => eventQueue.schedule(200, () => proxy.start()));
  eventQueue.schedule(6000, () => {
    if (!proxy.isAlive || proxy.incarnationNumber !== incarnationNumber) return;
    proxy.kill();
    eventQueue.schedule(200, () => proxy.start());
  });
};

/** Waits, step by step, for a moment in the life of a store, and then takes its power. */
const losePowerDuringWrite = (
  ground: FaultContext,
  isDue: (store: SimulatedStore) => boolean,
): void => {
  const { world } = ground;
  const primary = world.primary();
  if (primary === undefined || ground.reserveDiskFault(3000) === undefined) return;
  const write = world.apply(world.random.integer(1, 1_000_000));
  const until = world.eventQueue.now + 500;
  const look = (): void => {
    if (world.eventQueue.now > until) return;
    const [store] = world.stores.filter((one) => one.isAlive && isDue(one));
    if (store === undefined) {
      world.eventQueue.schedule(0.25, look);
      return;
    }
    ground.log(`power of ${store.node} lost amid ${write.id}`);
    killFor(ground, store, ground.randomMs(100, 2500));
    if (world.random.happens(0.3)) {
      world.coverage.record('a store lost its disk after confirming');
      store.disk.wipe();
    }
  };
  look();
};

const storeFaults: readonly Fault[] = [
  {
    name: 'kill store',
    weight: 3,
    cause: (ground) => {
      const store = ground.reserveDiskFault(2500);
      if (store !== undefined) killFor(ground, store, ground.randomMs(100, 2500));
    },
  },
  {
    name: 'freeze store',
    weight: 3,
    cause: (ground) => {
      const store = ground.reserveDiskFault(4000);
      if (store !== undefined) freezeFor(ground, store, ground.randomMs(300, 4000));
    },
  },
  {
    name: 'power lost before a sync',
    weight: 1,
    cause: (ground) => losePowerDuringWrite(ground, (store) => store.writePhase === 'disk'),
  },
  {
    name: 'power lost between the disks',
    weight: 1,
    cause: (ground) => losePowerDuringWrite(ground, (store) => store.writePhase === 'copy'),
  },
  {
    name: 'power lost before the answer',
    weight: 1,
    cause: (ground) =>
      losePowerDuringWrite(
        ground,
        (store) => store === ground.world.primary() && hasUnansweredWrite(ground, store),
      ),
  },
  {
    name: 'disk lost after confirming',
    weight: 1,
    cause: (ground) => {
      const { world } = ground;
      const write = world.apply(world.random.integer(1, 1_000_000));
      const until = world.eventQueue.now + 1000;
      const look = (): void => {
        if (write.reply?.status === 200) {
          const store = ground.reserveDiskFault(4000);
          if (store === undefined) return;
          ground.log(`wipe ${store.node} just after ${write.id}`);
          world.coverage.record('a store lost its disk after confirming');
          killFor(ground, store, ground.randomMs(200, 2000));
          store.disk.wipe();
        } else if (world.eventQueue.now < until) world.eventQueue.schedule(1, look);
      };
      look();
    },
  },
  {
    name: 'stop store',
    weight: 2,
    cause: (ground) => {
      const store = ground.reserveDiskFault(3000);
      if (store === undefined) return;
      ground.log(`stop ${store.node}`);
      store.stop();
      restartAfter(ground, store, 2500);
    },
  },
  {
    name: 'wipe store',
    weight: 2,
    cause: (ground) => {
      const store = ground.reserveDiskFault(4000);
      if (store === undefined) return;
      ground.log(`wipe ${store.node}`);
      store.kill();
      store.disk.wipe();
      restartAfter(ground, store, ground.randomMs(200, 2000));
    },
  },
  {
    name: 'tear store',
    weight: 1,
    cause: (ground) => {
      const store = ground.reserveDiskFault(4000);
      if (store === undefined) return;
      ground.log(`tear ${store.node}`);
      store.kill();
      store.disk.isTorn = true;
      restartAfter(ground, store, ground.randomMs(200, 2000));
    },
  },
  {
    name: 'fill disk',
    weight: 2,
    cause: (ground) => {
      const span = ground.randomMs(1000, 6000);
      const store = ground.reserveDiskFault(span);
      if (store === undefined) return;
      ground.log(`fill ${store.node} for ${Math.round(span)}`);
      ground.world.coverage.record('a disk was full');
      store.disk.condition = 'full';
      ground.world.eventQueue.schedule(span, () => store.disk.recover());
    },
  },
  {
    name: 'stall disk',
    weight: 2,
    cause: (ground) => {
      const span = ground.randomMs(500, 6000);
      const store = ground.reserveDiskFault(span);
      if (store === undefined) return;
      ground.log(`stall ${store.node} for ${Math.round(span)}`);
      ground.world.coverage.record('a disk was stalled');
      store.disk.condition = 'stalled';
      ground.world.eventQueue.schedule(span, () => store.disk.recover());
    },
  },
];

const processFaults: readonly Fault[] = [
  {
    name: 'kill proxy',
    weight: 6,
    cause: (ground) => {
      const one = ground.world.random.pick(ground.world.proxies);
      if (one?.isAlive === true) killFor(ground, one, ground.randomMs(100, 3000));
    },
  },
  {
    name: 'stop proxy',
    weight: 4,
    cause: (ground) => {
      const one = ground.world.random.pick(ground.world.proxies);
      if (one !== undefined) stopProxy(ground, one);
    },
  },
  {
    name: 'freeze proxy',
    weight: 5,
    cause: (ground) => {
      const one = ground.world.random.pick(ground.world.proxies);
      if (one?.isAlive === true && !one.isFrozen)
        freezeFor(ground, one, ground.randomMs(200, 5000));
    },
  },
  {
    name: 'kill registry',
    weight: 4,
    cause: (ground) => {
      const one = ground.world.random.pick(ground.world.registries);
      if (one?.isAlive === true) killFor(ground, one, ground.randomMs(100, 3000));
    },
  },
  {
    name: 'freeze registry',
    weight: 4,
    cause: (ground) => {
      const one = ground.world.random.pick(ground.world.registries);
      if (one?.isAlive === true && !one.isFrozen)
        freezeFor(ground, one, ground.randomMs(200, 5000));
    },
  },
  {
    name: 'lame node',
    weight: 1,
    cause: (ground) => {
      const one = ground.world.random.pick(ground.world.proxies);
      if (one === undefined || one.failsToCompile) return;
      ground.log(`lame ${one.node}`);
      one.failsToCompile = true;
      const span = ground.randomMs(1000, 5000);
      ground.world.eventQueue.schedule(span, () => {
        one.failsToCompile = false;
      });
    },
  },
  {
    name: 'kill everything',
    weight: 1,
    cause: (ground) => {
      if (!ground.reserveCoreFault(12_000)) return;
      ground.log('kill everything');
      ground.world.coverage.record('R12: everything was killed');
      for (const actor of ground.world.allProcesses) {
        actor.kill();
        restartAfter(ground, actor, ground.randomMs(50, 1500));
      }
    },
  },
  {
    name: 'kill many',
    weight: 1,
    cause: (ground) => {
      if (!ground.reserveCoreFault(6000)) return;
      const doomed = ground.world.allProcesses.filter(
        (one) => !(one instanceof SimulatedStore) && ground.world.random.happens(0.5),
      );
      ground.log(`kill ${doomed.map((one) => one.node).join(' ')}`);
      for (const actor of doomed)
        if (actor.isAlive) killFor(ground, actor, ground.randomMs(50, 1500));
    },
  },
];

const zoneFaults: readonly Fault[] = [
  {
    name: 'lose an area',
    weight: 1,
    cause: (ground) => {
      const span = ground.randomMs(1000, 6000);
      const store = ground.reserveZoneFault(span);
      if (store === undefined) return;
      const lost = ground.world.allProcesses.filter((one) => one.zone === store.zone);
      ground.log(`lose area ${store.zone} for ${Math.round(span)}`);
      ground.world.coverage.record('an area was lost');
      for (const one of lost) killFor(ground, one, span + ground.randomMs(0, 500));
    },
  },
  {
    name: 'stop all in turn',
    weight: 1,
    cause: (ground) => {
      const { eventQueue, proxies } = ground.world;
      ground.log('stop all proxies in turn');
      for (const [at, one] of proxies.entries())
        eventQueue.schedule(at * 1500, () => stopProxy(ground, one));
    },
  },
  {
    name: 'replace a registry',
    weight: 1,
    cause: (ground) => {
      const { world } = ground;
      if (!ground.reserveCoreFault(5000)) return;
      const gone = world.random.pick(
        world.registries.filter(
          (one) => !world.stores.some((store) => `${store.node}-registry` === one.node),
        ),
      );
      if (gone === undefined) return;
      const number = ground.nextSerial();
      const fresh = world.addRegistry(`new-${number}`, number);
      ground.log(`replace ${gone.node} by ${fresh.node}`);
      // Each change is asked for again until it is taken, as an operator would.
      const change = (add: boolean, then: () => void, tries: number): void => {
        const node = add ? fresh.node : gone.node;
        const id = toCommandId(`seat-${add ? 'add' : 'remove'}-${node}`);
        const by = world.random.pick(
          world.registries.filter((one) => one.isAlive && !one.isFrozen && one !== gone),
        );
        let over = false;
        by?.call(
          { verb: 'electorate', id, add: add ? node : undefined, remove: add ? undefined : node },
          (told) => {
            if (over) return;
            over = true;
            if (told.status === 200) then();
            else if (tries < 20) world.eventQueue.schedule(500, () => change(add, then, tries + 1));
          },
        );
        world.eventQueue.schedule(5000, () => {
          if (over || tries >= 20) return;
          over = true;
          change(add, then, tries + 1);
        });
      };
      world.eventQueue.schedule(1000, () =>
        change(
          true,
          () =>
            change(
              false,
              () => {
                world.coverage.record('a voter was replaced');
                ground.log(`${gone.node} is gone for good`);
                world.dropRegistry(gone);
              },
              0,
            ),
          0,
        ),
      );
    },
  },
];

const callerFaults: readonly Fault[] = [
  {
    name: 'impatient callers',
    weight: 1,
    cause: (ground) => {
      ground.log('callers ask again at once');
      ground.callers.maxImmediateRetries = 4;
      ground.world.eventQueue.schedule(ground.randomMs(2000, 8000), () => {
        ground.callers.maxImmediateRetries = 0;
      });
    },
  },
  {
    name: 'flood',
    weight: 1,
    cause: (ground) => {
      const { world } = ground;
      const service = world.random.pick(world.layout.services)?.name;
      if (service === undefined) return;
      const kind = world.random.pick(['plain', 'act'] as const) ?? 'plain';
      ground.log(`flood of ${kind} at ${service}`);
      ground.callers.floodedUntil.set(`/${service}/${kind}/`, world.eventQueue.now + 8000);
      for (let at = 0; at < 900; at += 1)
        world.eventQueue.schedule(at * 2.5, () => {
          ground.callers.send({ kind, service, flood: true });
        });
    },
  },
];

const healLater = (ground: FaultContext, span: number): void =>
  ground.world.eventQueue.schedule(span, () => {
    ground.log('heal');
    ground.world.network.heal();
  });

const networkFaults: readonly Fault[] = [
  {
    name: 'isolate machine',
    weight: 3,
    cause: (ground) => {
      const span = ground.randomMs(300, 5000);
      if (!ground.reserveCoreFault(span)) return;
      const one = ground.world.random.pick(ground.world.allProcesses);
      if (one === undefined) return;
      const actors = ground.processesOnMachineOf(one);
      const way = ground.world.random.pick(['both', 'both', 'out', 'in'] as const) ?? 'both';
      ground.log(
        `isolate ${actors.map((each) => each.node).join(' ')} ${way} for ${Math.round(span)}`,
      );
      ground.isolate(actors, way);
      healLater(ground, span);
    },
  },
  {
    name: 'split core',
    weight: 2,
    cause: (ground) => {
      const span = ground.randomMs(500, 5000);
      if (!ground.reserveCoreFault(span)) return;
      const side = ground.world.registries
        .filter(() => ground.world.random.happens(0.5))
        .flatMap((one) => ground.processesOnMachineOf(one));
      ground.log(`split ${side.map((one) => one.node).join(' ')} for ${Math.round(span)}`);
      ground.isolate(side, 'both');
      healLater(ground, span);
    },
  },
  {
    name: 'cut core off from edges',
    weight: 1,
    cause: (ground) => {
      const span = ground.randomMs(500, 4000);
      if (!ground.reserveCoreFault(span)) return;
      ground.log(`cut edges off for ${Math.round(span)}`);
      for (const edge of ground.world.edges) {
        for (const other of ground.world.allProcesses) {
          if (other instanceof SimulatedProxy && other.role === 'edge') continue;
          ground.world.network.cut(edge.node, other.node);
          ground.world.network.cut(other.node, edge.node);
        }
      }
      healLater(ground, span);
    },
  },
  {
    name: 'flapping machine',
    weight: 2,
    cause: (ground) => {
      if (!ground.reserveCoreFault(6000)) return;
      const one = ground.world.random.pick(ground.world.allProcesses);
      if (one === undefined) return;
      const actors = ground.processesOnMachineOf(one);
      ground.log(`flap ${actors.map((each) => each.node).join(' ')}`);
      for (let turn = 0; turn < 8; turn += 1) {
        ground.world.eventQueue.schedule(turn * 700, () => ground.isolate(actors, 'both'));
        ground.world.eventQueue.schedule(turn * 700 + ground.randomMs(50, 600), () =>
          ground.world.network.heal(),
        );
      }
      healLater(ground, 6000);
    },
  },
  {
    name: 'slow links',
    weight: 1,
    cause: (ground) => {
      const span = ground.randomMs(1000, 6000);
      ground.log(`slow links for ${Math.round(span)}`);
      ground.world.network.conditions = slowConditions;
      ground.world.eventQueue.schedule(span, () => {
        ground.world.network.conditions = goodConditions;
      });
    },
  },
  {
    name: 'rough weather',
    weight: 2,
    cause: (ground) => {
      const span = ground.randomMs(1000, 6000);
      ground.log(`rough weather for ${Math.round(span)}`);
      ground.world.network.conditions = lossyConditions;
      ground.world.eventQueue.schedule(span, () => {
        ground.world.network.conditions = goodConditions;
      });
    },
  },
];

/** Another run of the very release, with its faults. */
const addReplacementOrigin = (
  world: World,
  one: SimulatedOrigin,
  address: Address | undefined,
): void => {
  world.addOrigin(one.service, one.slots, one.release, address).failureProbability =
    one.failureProbability;
};

const originFaults: readonly Fault[] = [
  {
    name: 'crash origin',
    weight: 2,
    cause: (ground) => {
      const { world } = ground;
      const up = world.origins.filter((one) => one.isAlive && one.state === 'up');
      const one = world.random.pick(up);
      if (one === undefined || up.filter((other) => other.service === one.service).length < 2)
        return;
      ground.log(`crash ${one.instance}`);
      one.crash();
      world.eventQueue.schedule(ground.randomMs(500, 4000), () =>
        addReplacementOrigin(world, one, world.random.happens(0.5) ? one.address : undefined),
      );
    },
  },
  {
    name: 'replace origin',
    weight: 3,
    cause: (ground) => {
      const { world } = ground;
      const one = world.random.pick(
        world.origins.filter((other) => other.isAlive && other.state === 'up'),
      );
      if (one === undefined) return;
      ground.log(`replace ${one.instance}`);
      addReplacementOrigin(world, one, undefined);
      world.eventQueue.schedule(1000, () =>
        one.leave(world.random.happens(0.5) ? 'leaving' : 'gone'),
      );
      world.eventQueue.schedule(9000, () => one.crash());
    },
  },
  {
    name: 'reuse address',
    weight: 1,
    cause: (ground) => {
      const { world } = ground;
      const one = world.random.pick(
        world.origins.filter((other) => other.isAlive && other.state === 'up'),
      );
      const other = world.random.pick(
        world.layout.services.filter((row) => row.name !== one?.service),
      );
      if (one === undefined || other === undefined) return;
      world.coverage.record('R6: an address was taken by another service');
      ground.log(`reuse ${one.address} of ${one.instance} for ${other.name}`);
      addReplacementOrigin(world, one, undefined);
      one.crash();
      world.eventQueue.schedule(ground.randomMs(10, 500), () =>
        world.addOrigin(other.name, other.slots, 'r1', one.address),
      );
    },
  },
  {
    name: 'slow origin',
    weight: 2,
    cause: (ground) => {
      const one = ground.world.random.pick(ground.world.origins.filter((other) => other.isAlive));
      if (one === undefined) return;
      one.extraLatencyMs = ground.randomMs(50, 1500);
      ground.log(`slow ${one.instance} by ${Math.round(one.extraLatencyMs)}`);
      ground.world.eventQueue.schedule(ground.randomMs(1000, 6000), () => {
        one.extraLatencyMs = 0;
      });
    },
  },
  {
    name: 'losing origin',
    weight: 2,
    cause: (ground) => {
      const one = ground.world.random.pick(ground.world.origins.filter((other) => other.isAlive));
      if (one === undefined) return;
      ground.log(`lossy ${one.instance}`);
      one.lossProbability = ground.randomMs(0.05, 0.6);
      one.corruptionProbability = ground.randomMs(0, 0.3);
      one.truncationProbability = ground.randomMs(0, 0.2);
      one.wrongInstanceProbability = ground.randomMs(0, 0.1);
      ground.world.eventQueue.schedule(ground.randomMs(1000, 6000), () => {
        one.repair();
      });
    },
  },
  {
    name: 'bad release',
    weight: 1,
    cause: (ground) => {
      const { world } = ground;
      const service = world.random.pick(world.layout.services);
      if (service === undefined) return;
      const release = ground.newRelease();
      const origin = world.addOrigin(service.name, service.slots, release);
      origin.failureProbability = ground.randomMs(0.3, 1);
      ground.ruleChecker.badReleases.add(toRelease(release));
      world.coverage.record('R10: a bad release came');
      ground.log(`bad release ${release} of ${service.name}`);
      world.eventQueue.schedule(20_000, () => origin.leave('leaving'));
    },
  },
  {
    name: 'good release',
    weight: 1,
    cause: (ground) => {
      const service = ground.world.random.pick(ground.world.layout.services);
      if (service === undefined) return;
      const release = ground.newRelease();
      ground.log(`good release ${release} of ${service.name}`);
      ground.world.addOrigin(service.name, service.slots, release);
    },
  },
];

const operatorFaults: readonly Fault[] = [
  {
    name: 'apply',
    weight: 4,
    cause: (ground) => {
      ground.world.apply(ground.world.random.integer(1, 1_000_000));
    },
  },
  {
    name: 'apply an invalid one',
    weight: 1,
    cause: (ground) => {
      ground.log('apply an invalid description');
      ground.world.coverage.record('R4: an invalid description came');
      ground.world.apply(ground.world.random.integer(1, 1_000_000), undefined, 'invalid');
    },
  },
  {
    name: 'apply a huge one',
    weight: 1,
    cause: (ground) => {
      ground.log('apply a huge description');
      ground.world.coverage.record('R4: a huge description came');
      ground.world.apply(ground.world.random.integer(1, 1_000_000), undefined, 'huge');
    },
  },
  {
    name: 'collide',
    weight: 2,
    cause: (ground) => {
      const base = ground.world.primary()?.state?.control.configuration?.offer.generation;
      if (base === undefined) return;
      ground.log(`collide on ${base}`);
      ground.world.coverage.record('R4: two descriptions collided');
      ground.world.apply(ground.world.random.integer(1, 1_000_000), base);
      ground.world.apply(ground.world.random.integer(1, 1_000_000), base);
    },
  },
  {
    name: 'purge',
    weight: 4,
    cause: (ground) => {
      const { world } = ground;
      const service = world.random.pick(world.layout.services)?.name ?? '';
      const path = `/${service}/read/${world.random.integer(0, 19)}`;
      world.purge([path], [{ by: 'object', path }]);
    },
  },
  {
    name: 'purge storm',
    weight: 1,
    cause: (ground) => {
      const { world } = ground;
      for (const service of world.layout.services) {
        for (let at = 0; at < 20; at += 1) {
          const path = `/${service.name}/read/${at}`;
          world.eventQueue.schedule(ground.randomMs(0, 500), () => {
            world.purge([path], [{ by: 'object', path }]);
          });
        }
      }
    },
  },
];

/** Orders of operators that number their configurations: the storms that ask for them by name get them. */
export const numberedCommandFaults: readonly Fault[] = [
  {
    name: 'numbered race',
    weight: 3,
    cause: (ground) => {
      ground.log('two operators race under one number');
      ground.operators?.applyConcurrently();
    },
  },
  {
    name: 'numbered apply',
    weight: 3,
    cause: (ground) => ground.operators?.apply(),
  },
  {
    name: 'numbered repeat',
    weight: 4,
    cause: (ground) => ground.operators?.repeatConfiguration(),
  },
  {
    name: 'order a release',
    weight: 2,
    cause: (ground) => ground.operators?.requestRollout(),
  },
  {
    name: 'order a release again',
    weight: 3,
    cause: (ground) => ground.operators?.repeatRollout(),
  },
];

export const allFaults: readonly Fault[] = [
  ...storeFaults,
  ...processFaults,
  ...zoneFaults,
  ...callerFaults,
  ...networkFaults,
  ...originFaults,
  ...operatorFaults,
];

/** Picks faults by their weights. */
export const pickFault = (
  ground: FaultContext,
  candidates: readonly Fault[],
): Fault | undefined => {
  let left = ground.world.random.next() * candidates.reduce((sum, one) => sum + one.weight, 0);
  for (const one of candidates) {
    left -= one.weight;
    if (left <= 0) return one;
  }
  return candidates.at(-1);
};
