import { type Address, toCommandId, toRelease } from '@switchwheel/types';
import type { SimCallers } from '../cast/callers.js';
import type { SimOrigin } from '../cast/origin.js';
import type { Actor } from '../world/actor.js';
import type { SimOperators } from '../history/operators.js';
import type { World } from '../world/world.js';
import type { Rules } from '../rules/rules.js';
import { SimProxy } from '../cast/proxy.js';
import { SimStore } from '../cast/store.js';
import { windowSum } from '@switchwheel/proxy-core';
import { fair, rough, slow } from '../world/net.js';

/** What a run may do to a fleet. */
export interface Fault {
  readonly name: string;
  /** How often it is picked beside the others. */
  readonly weight: number;
  readonly act: (ground: Ground) => void;
}

/** How long after trouble with the core the next one may come. */
const settle = 3000;

/** The ground on which faults are caused: what they share and must not do at once. */
export class Ground {
  readonly world: World;
  readonly rules: Rules;
  /** When the last trouble with a machine that has a disk ends. */
  #diskFree = 0;
  #coreFree = 0;
  #release = 1;
  readonly done = new Map<string, number>();
  trace: ((text: string) => void) | undefined;
  /** Operators whose orders are recorded and judged; only where a run has them. */
  operators: SimOperators | undefined;

  readonly callers: SimCallers;
  #serial = 0;

  constructor(world: World, rules: Rules, callers: SimCallers) {
    this.world = world;
    this.rules = rules;
    this.callers = callers;
  }

  serial(): number {
    this.#serial += 1;
    return this.#serial;
  }

  say(text: string): void {
    this.trace?.(`${Math.round(this.world.agenda.now)} ${text}`);
  }

  span(low: number, high: number): number {
    return this.world.chance.between(low, high);
  }

  /** One machine with a disk has trouble at a time, and the next only once the pair is whole again. */
  diskTurn(span: number): SimStore | undefined {
    const { world } = this;
    if (world.agenda.now < this.#diskFree || world.agenda.now < this.#coreFree) return undefined;
    const primary = world.primary();
    if (
      primary?.state?.metadata?.inSyncSet.length !== 2 ||
      !world.stores.every((one) => one.alive && !one.frozen)
    )
      return undefined;
    this.#diskFree = world.agenda.now + span + 3000;
    return world.chance.one(world.stores);
  }

  /** One trouble with the whole core at a time. */
  coreTurn(span: number): boolean {
    if (this.world.agenda.now < this.#coreFree || this.world.agenda.now < this.#diskFree)
      return false;
    this.#coreFree = this.world.agenda.now + span + settle;
    return true;
  }

  /** Trouble with a whole place: with a disk and with the core at once. */
  placeTurn(span: number): SimStore | undefined {
    const store = this.diskTurn(span);
    if (store !== undefined) this.#coreFree = this.world.agenda.now + span + settle;
    return store;
  }

  newRelease(): string {
    this.#release += 1;
    return `r${this.#release}`;
  }

  /** Everything on one machine. */
  machineOf(actor: Actor): readonly Actor[] {
    const name = actor.node.replace(/-registry$/, '');
    return this.world.all.filter((one) => one.node === name || one.node === `${name}-registry`);
  }

  /** Cuts some actors off from all others, both ways or one. */
  isolate(actors: readonly Actor[], way: 'both' | 'out' | 'in'): void {
    for (const one of actors) {
      for (const other of this.world.all) {
        if (actors.includes(other)) continue;
        if (way !== 'in') this.world.net.cut(one.node, other.node);
        if (way !== 'out') this.world.net.cut(other.node, one.node);
      }
    }
  }
}

const restart = (ground: Ground, actor: Actor, span: number): void =>
  ground.world.agenda.after(span, () => actor.start());

/** Whether a store has written what its operator was not told yet. */
const owesAnswer = ({ world }: Ground, store: SimStore): boolean =>
  world.writes.some((one) => one.told === undefined && store.keeps(one.id));

/** Notes what losing a process just now puts to the test. */
const note = (ground: Ground, actor: Actor): void => {
  const { world } = ground;
  if (actor instanceof SimStore) {
    const primary = world.primary() === actor;
    const fresh = world.writes.some(
      (one) => one.told?.status === 200 && world.agenda.now - one.told.at < 1000,
    );
    if (primary && fresh) world.tried.note('R4: a primary was lost just after it accepted');
    if (actor.writing === 'disk') world.tried.note('a write was cut before its sync');
    if (actor.writing === 'copy') world.tried.note('a write was cut between the two disks');
    if (primary && owesAnswer(ground, actor)) world.tried.note('a write was cut before its answer');
  }
  if (!(actor instanceof SimProxy)) return;
  for (const name of actor.state?.activeLeaders.values() ?? []) {
    const keeper = actor.state?.leaders.get(name);
    if (keeper === undefined) continue;
    if ([...keeper.canaries.values()].some((one) => one.state === 'trial'))
      world.tried.note('R10: a keeper was lost during a trial');
    if (windowSum(keeper.recentExtraAttempts, actor.clock) > 5)
      world.tried.note('R8: a keeper was lost with extra legs just sent');
  }
};

const kill = (ground: Ground, actor: Actor, span: number): void => {
  note(ground, actor);
  ground.say(`kill ${actor.node} for ${Math.round(span)}`);
  actor.kill();
  restart(ground, actor, span);
};

const freeze = (ground: Ground, actor: Actor, span: number): void => {
  note(ground, actor);
  ground.say(`freeze ${actor.node} for ${Math.round(span)}`);
  actor.freeze();
  ground.world.agenda.after(span, () => actor.wake());
};

/** A planned stop: a warning, then the platform's hard stop six seconds later. */
export const stopProxy = (ground: Ground, proxy: SimProxy): void => {
  if (!proxy.alive || proxy.frozen) return;
  ground.say(`stop ${proxy.node}`);
  const { agenda } = ground.world;
  const { life } = proxy;
  proxy.stop(() => agenda.after(200, () => proxy.start()));
  agenda.after(6000, () => {
    if (!proxy.alive || proxy.life !== life) return;
    proxy.kill();
    agenda.after(200, () => proxy.start());
  });
};

/** Waits, step by step, for a moment in the life of a store, and then takes its power. */
const cutAt = (ground: Ground, moment: (store: SimStore) => boolean): void => {
  const { world } = ground;
  const primary = world.primary();
  if (primary === undefined || ground.diskTurn(3000) === undefined) return;
  const write = world.apply(world.chance.whole(1, 1_000_000));
  const until = world.agenda.now + 500;
  const look = (): void => {
    if (world.agenda.now > until) return;
    const [store] = world.stores.filter((one) => one.alive && moment(one));
    if (store === undefined) {
      world.agenda.after(0.25, look);
      return;
    }
    ground.say(`power of ${store.node} lost amid ${write.id}`);
    kill(ground, store, ground.span(100, 2500));
    if (world.chance.hit(0.3)) {
      world.tried.note('a store lost its disk after confirming');
      store.disk.wipe();
    }
  };
  look();
};

const storeFaults: readonly Fault[] = [
  {
    name: 'kill store',
    weight: 3,
    act: (ground) => {
      const store = ground.diskTurn(2500);
      if (store !== undefined) kill(ground, store, ground.span(100, 2500));
    },
  },
  {
    name: 'freeze store',
    weight: 3,
    act: (ground) => {
      const store = ground.diskTurn(4000);
      if (store !== undefined) freeze(ground, store, ground.span(300, 4000));
    },
  },
  {
    name: 'power lost before a sync',
    weight: 1,
    act: (ground) => cutAt(ground, (store) => store.writing === 'disk'),
  },
  {
    name: 'power lost between the disks',
    weight: 1,
    act: (ground) => cutAt(ground, (store) => store.writing === 'copy'),
  },
  {
    name: 'power lost before the answer',
    weight: 1,
    act: (ground) =>
      cutAt(ground, (store) => store === ground.world.primary() && owesAnswer(ground, store)),
  },
  {
    name: 'disk lost after confirming',
    weight: 1,
    act: (ground) => {
      const { world } = ground;
      const write = world.apply(world.chance.whole(1, 1_000_000));
      const until = world.agenda.now + 1000;
      const look = (): void => {
        if (write.told?.status === 200) {
          const store = ground.diskTurn(4000);
          if (store === undefined) return;
          ground.say(`wipe ${store.node} just after ${write.id}`);
          world.tried.note('a store lost its disk after confirming');
          kill(ground, store, ground.span(200, 2000));
          store.disk.wipe();
        } else if (world.agenda.now < until) world.agenda.after(1, look);
      };
      look();
    },
  },
  {
    name: 'stop store',
    weight: 2,
    act: (ground) => {
      const store = ground.diskTurn(3000);
      if (store === undefined) return;
      ground.say(`stop ${store.node}`);
      store.stop();
      restart(ground, store, 2500);
    },
  },
  {
    name: 'wipe store',
    weight: 2,
    act: (ground) => {
      const store = ground.diskTurn(4000);
      if (store === undefined) return;
      ground.say(`wipe ${store.node}`);
      store.kill();
      store.disk.wipe();
      restart(ground, store, ground.span(200, 2000));
    },
  },
  {
    name: 'tear store',
    weight: 1,
    act: (ground) => {
      const store = ground.diskTurn(4000);
      if (store === undefined) return;
      ground.say(`tear ${store.node}`);
      store.kill();
      store.disk.torn = true;
      restart(ground, store, ground.span(200, 2000));
    },
  },
  {
    name: 'fill disk',
    weight: 2,
    act: (ground) => {
      const span = ground.span(1000, 6000);
      const store = ground.diskTurn(span);
      if (store === undefined) return;
      ground.say(`fill ${store.node} for ${Math.round(span)}`);
      ground.world.tried.note('a disk was full');
      store.disk.mood = 'full';
      ground.world.agenda.after(span, () => store.disk.calm());
    },
  },
  {
    name: 'stall disk',
    weight: 2,
    act: (ground) => {
      const span = ground.span(500, 6000);
      const store = ground.diskTurn(span);
      if (store === undefined) return;
      ground.say(`stall ${store.node} for ${Math.round(span)}`);
      ground.world.tried.note('a disk was stalled');
      store.disk.mood = 'stalled';
      ground.world.agenda.after(span, () => store.disk.calm());
    },
  },
];

const processFaults: readonly Fault[] = [
  {
    name: 'kill proxy',
    weight: 6,
    act: (ground) => {
      const one = ground.world.chance.one(ground.world.proxies);
      if (one?.alive === true) kill(ground, one, ground.span(100, 3000));
    },
  },
  {
    name: 'stop proxy',
    weight: 4,
    act: (ground) => {
      const one = ground.world.chance.one(ground.world.proxies);
      if (one !== undefined) stopProxy(ground, one);
    },
  },
  {
    name: 'freeze proxy',
    weight: 5,
    act: (ground) => {
      const one = ground.world.chance.one(ground.world.proxies);
      if (one?.alive === true && !one.frozen) freeze(ground, one, ground.span(200, 5000));
    },
  },
  {
    name: 'kill registry',
    weight: 4,
    act: (ground) => {
      const one = ground.world.chance.one(ground.world.registries);
      if (one?.alive === true) kill(ground, one, ground.span(100, 3000));
    },
  },
  {
    name: 'freeze registry',
    weight: 4,
    act: (ground) => {
      const one = ground.world.chance.one(ground.world.registries);
      if (one?.alive === true && !one.frozen) freeze(ground, one, ground.span(200, 5000));
    },
  },
  {
    name: 'lame node',
    weight: 1,
    act: (ground) => {
      const one = ground.world.chance.one(ground.world.proxies);
      if (one === undefined || one.lame) return;
      ground.say(`lame ${one.node}`);
      one.lame = true;
      const span = ground.span(1000, 5000);
      ground.world.agenda.after(span, () => {
        one.lame = false;
      });
    },
  },
  {
    name: 'kill everything',
    weight: 1,
    act: (ground) => {
      if (!ground.coreTurn(12_000)) return;
      ground.say('kill everything');
      ground.world.tried.note('R12: everything was killed');
      for (const actor of ground.world.all) {
        actor.kill();
        restart(ground, actor, ground.span(50, 1500));
      }
    },
  },
  {
    name: 'kill many',
    weight: 1,
    act: (ground) => {
      if (!ground.coreTurn(6000)) return;
      const doomed = ground.world.all.filter(
        (one) => !(one instanceof SimStore) && ground.world.chance.hit(0.5),
      );
      ground.say(`kill ${doomed.map((one) => one.node).join(' ')}`);
      for (const actor of doomed) if (actor.alive) kill(ground, actor, ground.span(50, 1500));
    },
  },
];

const placeFaults: readonly Fault[] = [
  {
    name: 'lose an area',
    weight: 1,
    act: (ground) => {
      const span = ground.span(1000, 6000);
      const store = ground.placeTurn(span);
      if (store === undefined) return;
      const lost = ground.world.all.filter((one) => one.area === store.area);
      ground.say(`lose area ${store.area} for ${Math.round(span)}`);
      ground.world.tried.note('an area was lost');
      for (const one of lost) kill(ground, one, span + ground.span(0, 500));
    },
  },
  {
    name: 'stop all in turn',
    weight: 1,
    act: (ground) => {
      const { agenda, proxies } = ground.world;
      ground.say('stop all proxies in turn');
      for (const [at, one] of proxies.entries())
        agenda.after(at * 1500, () => stopProxy(ground, one));
    },
  },
  {
    name: 'replace a registry',
    weight: 1,
    act: (ground) => {
      const { world } = ground;
      if (!ground.coreTurn(5000)) return;
      const gone = world.chance.one(
        world.registries.filter(
          (one) => !world.stores.some((store) => `${store.node}-registry` === one.node),
        ),
      );
      if (gone === undefined) return;
      const number = ground.serial();
      const fresh = world.addRegistry(`new-${number}`, number);
      ground.say(`replace ${gone.node} by ${fresh.node}`);
      // Each change is asked for again until it is taken, as an operator would.
      const change = (add: boolean, then: () => void, tries: number): void => {
        const node = add ? fresh.node : gone.node;
        const id = toCommandId(`seat-${add ? 'add' : 'remove'}-${node}`);
        const by = world.chance.one(
          world.registries.filter((one) => one.alive && !one.frozen && one !== gone),
        );
        let over = false;
        by?.call(
          { verb: 'electorate', id, add: add ? node : undefined, remove: add ? undefined : node },
          (told) => {
            if (over) return;
            over = true;
            if (told.status === 200) then();
            else if (tries < 20) world.agenda.after(500, () => change(add, then, tries + 1));
          },
        );
        world.agenda.after(5000, () => {
          if (over || tries >= 20) return;
          over = true;
          change(add, then, tries + 1);
        });
      };
      world.agenda.after(1000, () =>
        change(
          true,
          () =>
            change(
              false,
              () => {
                world.tried.note('a voter was replaced');
                ground.say(`${gone.node} is gone for good`);
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
    act: (ground) => {
      ground.say('callers ask again at once');
      ground.callers.impatience = 4;
      ground.world.agenda.after(ground.span(2000, 8000), () => {
        ground.callers.impatience = 0;
      });
    },
  },
  {
    name: 'flood',
    weight: 1,
    act: (ground) => {
      const { world } = ground;
      const service = world.chance.one(world.layout.services)?.name;
      if (service === undefined) return;
      const kind = world.chance.one(['plain', 'act'] as const) ?? 'plain';
      ground.say(`flood of ${kind} at ${service}`);
      ground.callers.flooded.set(`/${service}/${kind}/`, world.agenda.now + 8000);
      for (let at = 0; at < 900; at += 1)
        world.agenda.after(at * 2.5, () => {
          ground.callers.one({ kind, service, flood: true });
        });
    },
  },
];

const healLater = (ground: Ground, span: number): void =>
  ground.world.agenda.after(span, () => {
    ground.say('heal');
    ground.world.net.heal();
  });

const netFaults: readonly Fault[] = [
  {
    name: 'isolate machine',
    weight: 3,
    act: (ground) => {
      const span = ground.span(300, 5000);
      if (!ground.coreTurn(span)) return;
      const one = ground.world.chance.one(ground.world.all);
      if (one === undefined) return;
      const actors = ground.machineOf(one);
      const way = ground.world.chance.one(['both', 'both', 'out', 'in'] as const) ?? 'both';
      ground.say(
        `isolate ${actors.map((each) => each.node).join(' ')} ${way} for ${Math.round(span)}`,
      );
      ground.isolate(actors, way);
      healLater(ground, span);
    },
  },
  {
    name: 'split core',
    weight: 2,
    act: (ground) => {
      const span = ground.span(500, 5000);
      if (!ground.coreTurn(span)) return;
      const side = ground.world.registries
        .filter(() => ground.world.chance.hit(0.5))
        .flatMap((one) => ground.machineOf(one));
      ground.say(`split ${side.map((one) => one.node).join(' ')} for ${Math.round(span)}`);
      ground.isolate(side, 'both');
      healLater(ground, span);
    },
  },
  {
    name: 'cut core off from edges',
    weight: 1,
    act: (ground) => {
      const span = ground.span(500, 4000);
      if (!ground.coreTurn(span)) return;
      ground.say(`cut edges off for ${Math.round(span)}`);
      for (const edge of ground.world.edges) {
        for (const other of ground.world.all) {
          if (other instanceof SimProxy && other.role === 'edge') continue;
          ground.world.net.cut(edge.node, other.node);
          ground.world.net.cut(other.node, edge.node);
        }
      }
      healLater(ground, span);
    },
  },
  {
    name: 'flapping machine',
    weight: 2,
    act: (ground) => {
      if (!ground.coreTurn(6000)) return;
      const one = ground.world.chance.one(ground.world.all);
      if (one === undefined) return;
      const actors = ground.machineOf(one);
      ground.say(`flap ${actors.map((each) => each.node).join(' ')}`);
      for (let turn = 0; turn < 8; turn += 1) {
        ground.world.agenda.after(turn * 700, () => ground.isolate(actors, 'both'));
        ground.world.agenda.after(turn * 700 + ground.span(50, 600), () => ground.world.net.heal());
      }
      healLater(ground, 6000);
    },
  },
  {
    name: 'slow links',
    weight: 1,
    act: (ground) => {
      const span = ground.span(1000, 6000);
      ground.say(`slow links for ${Math.round(span)}`);
      ground.world.net.weather = slow;
      ground.world.agenda.after(span, () => {
        ground.world.net.weather = fair;
      });
    },
  },
  {
    name: 'rough weather',
    weight: 2,
    act: (ground) => {
      const span = ground.span(1000, 6000);
      ground.say(`rough weather for ${Math.round(span)}`);
      ground.world.net.weather = rough;
      ground.world.agenda.after(span, () => {
        ground.world.net.weather = fair;
      });
    },
  },
];

/** Another run of the very release, with its faults. */
const another = (world: World, one: SimOrigin, address: Address | undefined): void => {
  world.addOrigin(one.service, one.slots, one.release, address).badShare = one.badShare;
};

const originFaults: readonly Fault[] = [
  {
    name: 'crash origin',
    weight: 2,
    act: (ground) => {
      const { world } = ground;
      const up = world.origins.filter((one) => one.alive && one.state === 'up');
      const one = world.chance.one(up);
      if (one === undefined || up.filter((other) => other.service === one.service).length < 2)
        return;
      ground.say(`crash ${one.instance}`);
      one.crash();
      world.agenda.after(ground.span(500, 4000), () =>
        another(world, one, world.chance.hit(0.5) ? one.address : undefined),
      );
    },
  },
  {
    name: 'replace origin',
    weight: 3,
    act: (ground) => {
      const { world } = ground;
      const one = world.chance.one(
        world.origins.filter((other) => other.alive && other.state === 'up'),
      );
      if (one === undefined) return;
      ground.say(`replace ${one.instance}`);
      another(world, one, undefined);
      world.agenda.after(1000, () => one.leave(world.chance.hit(0.5) ? 'leaving' : 'gone'));
      world.agenda.after(9000, () => one.crash());
    },
  },
  {
    name: 'reuse address',
    weight: 1,
    act: (ground) => {
      const { world } = ground;
      const one = world.chance.one(
        world.origins.filter((other) => other.alive && other.state === 'up'),
      );
      const other = world.chance.one(
        world.layout.services.filter((row) => row.name !== one?.service),
      );
      if (one === undefined || other === undefined) return;
      world.tried.note('R6: an address was taken by another service');
      ground.say(`reuse ${one.address} of ${one.instance} for ${other.name}`);
      another(world, one, undefined);
      one.crash();
      world.agenda.after(ground.span(10, 500), () =>
        world.addOrigin(other.name, other.slots, 'r1', one.address),
      );
    },
  },
  {
    name: 'slow origin',
    weight: 2,
    act: (ground) => {
      const one = ground.world.chance.one(ground.world.origins.filter((other) => other.alive));
      if (one === undefined) return;
      one.slowMs = ground.span(50, 1500);
      ground.say(`slow ${one.instance} by ${Math.round(one.slowMs)}`);
      ground.world.agenda.after(ground.span(1000, 6000), () => {
        one.slowMs = 0;
      });
    },
  },
  {
    name: 'losing origin',
    weight: 2,
    act: (ground) => {
      const one = ground.world.chance.one(ground.world.origins.filter((other) => other.alive));
      if (one === undefined) return;
      ground.say(`lossy ${one.instance}`);
      one.loseShare = ground.span(0.05, 0.6);
      one.corruptShare = ground.span(0, 0.3);
      one.cutShare = ground.span(0, 0.2);
      one.misnamedShare = ground.span(0, 0.1);
      ground.world.agenda.after(ground.span(1000, 6000), () => {
        one.mend();
      });
    },
  },
  {
    name: 'bad release',
    weight: 1,
    act: (ground) => {
      const { world } = ground;
      const service = world.chance.one(world.layout.services);
      if (service === undefined) return;
      const release = ground.newRelease();
      const origin = world.addOrigin(service.name, service.slots, release);
      origin.badShare = ground.span(0.3, 1);
      ground.rules.badReleases.add(toRelease(release));
      world.tried.note('R10: a bad release came');
      ground.say(`bad release ${release} of ${service.name}`);
      world.agenda.after(20_000, () => origin.leave('leaving'));
    },
  },
  {
    name: 'good release',
    weight: 1,
    act: (ground) => {
      const service = ground.world.chance.one(ground.world.layout.services);
      if (service === undefined) return;
      const release = ground.newRelease();
      ground.say(`good release ${release} of ${service.name}`);
      ground.world.addOrigin(service.name, service.slots, release);
    },
  },
];

const operatorFaults: readonly Fault[] = [
  {
    name: 'apply',
    weight: 4,
    act: (ground) => {
      ground.world.apply(ground.world.chance.whole(1, 1_000_000));
    },
  },
  {
    name: 'apply an invalid one',
    weight: 1,
    act: (ground) => {
      ground.say('apply an invalid description');
      ground.world.tried.note('R4: an invalid description came');
      ground.world.apply(ground.world.chance.whole(1, 1_000_000), undefined, 'invalid');
    },
  },
  {
    name: 'apply a huge one',
    weight: 1,
    act: (ground) => {
      ground.say('apply a huge description');
      ground.world.tried.note('R4: a huge description came');
      ground.world.apply(ground.world.chance.whole(1, 1_000_000), undefined, 'huge');
    },
  },
  {
    name: 'collide',
    weight: 2,
    act: (ground) => {
      const base = ground.world.primary()?.state?.control.configuration?.offer.generation;
      if (base === undefined) return;
      ground.say(`collide on ${base}`);
      ground.world.tried.note('R4: two descriptions collided');
      ground.world.apply(ground.world.chance.whole(1, 1_000_000), base);
      ground.world.apply(ground.world.chance.whole(1, 1_000_000), base);
    },
  },
  {
    name: 'purge',
    weight: 4,
    act: (ground) => {
      const { world } = ground;
      const service = world.chance.one(world.layout.services)?.name ?? '';
      const path = `/${service}/read/${world.chance.whole(0, 19)}`;
      world.purge([path], [{ by: 'object', path }]);
    },
  },
  {
    name: 'purge storm',
    weight: 1,
    act: (ground) => {
      const { world } = ground;
      for (const service of world.layout.services) {
        for (let at = 0; at < 20; at += 1) {
          const path = `/${service.name}/read/${at}`;
          world.agenda.after(ground.span(0, 500), () => {
            world.purge([path], [{ by: 'object', path }]);
          });
        }
      }
    },
  },
];

/** Orders of operators that number their configurations: the storms that ask for them by name get them. */
export const numberedOrderFaults: readonly Fault[] = [
  {
    name: 'numbered race',
    weight: 3,
    act: (ground) => {
      ground.say('two operators race under one number');
      ground.operators?.race();
    },
  },
  {
    name: 'numbered apply',
    weight: 3,
    act: (ground) => ground.operators?.apply(),
  },
  {
    name: 'numbered repeat',
    weight: 4,
    act: (ground) => ground.operators?.repeat(),
  },
  {
    name: 'order a release',
    weight: 2,
    act: (ground) => ground.operators?.orderRelease(),
  },
  {
    name: 'order a release again',
    weight: 3,
    act: (ground) => ground.operators?.repeatRelease(),
  },
];

export const faults: readonly Fault[] = [
  ...storeFaults,
  ...processFaults,
  ...placeFaults,
  ...callerFaults,
  ...netFaults,
  ...originFaults,
  ...operatorFaults,
];

/** Picks faults by their weights. */
export const pickFault = (ground: Ground, list: readonly Fault[]): Fault | undefined => {
  let left = ground.world.chance.next() * list.reduce((sum, one) => sum + one.weight, 0);
  for (const one of list) {
    left -= one.weight;
    if (left <= 0) return one;
  }
  return list.at(-1);
};
