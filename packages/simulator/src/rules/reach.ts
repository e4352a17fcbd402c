import type { SimProxy } from '../cast/proxy.js';
import type { SimRegistry } from '../cast/registry.js';
import type { Actor } from '../world/actor.js';
import type { World } from '../world/world.js';

const up = (actor: Actor): boolean => actor.alive && !actor.frozen;

/** Whether two processes can reach each other, both ways, by the state of the network and of both. */
export const linked = (world: World, one: Actor, two: Actor): boolean =>
  one === two ||
  (up(one) && up(two) && world.net.open(one.node, two.node) && world.net.open(two.node, one.node));

/** The registries on the side where a primary is or can come to be: with a store in sync that a majority of voters can reach. */
export const goodRegistries = (world: World): readonly SimRegistry[] => {
  // What a dead store's disk says counts: what it alone confirmed, nobody else can serve.
  const metadata = world.stores
    .map((one) => one.state?.metadata ?? one.disk.synced.at(-1)?.metadata)
    .filter((one) => one !== undefined)
    .sort((one, two) => two.epoch - one.epoch)[0];
  if (metadata === undefined) return [];
  const seats = world.registries.filter((one) =>
    metadata.electorate.members.some((seat) => seat.node === one.node),
  );
  const half = metadata.electorate.members.length / 2;
  const stores = world.stores.filter(
    (store) =>
      metadata.inSyncSet.includes(store.node) &&
      up(store) &&
      seats.filter((one) => linked(world, store, one)).length > half,
  );
  return world.registries.filter(
    (one) =>
      up(one) &&
      stores.some((store) => linked(world, one, store)) &&
      seats.filter((other) => linked(world, one, other)).length > half,
  );
};

/** Since when each node is in reach of the fleet without a break. */
export class Reach {
  readonly #world: World;
  readonly #since = new Map<SimProxy, { readonly life: number; readonly at: number }>();
  #core: number | undefined;
  /** The nodes that were out of reach at the last look. */
  readonly out = new Set<SimProxy>();

  constructor(world: World) {
    this.#world = world;
  }

  look(): void {
    const world = this.#world;
    const good = goodRegistries(world);
    this.#core = good.length === 0 ? undefined : (this.#core ?? world.agenda.now);
    for (const proxy of world.proxies) {
      const near =
        up(proxy) &&
        !proxy.lame &&
        proxy.state?.nodeAgent.failedUpdate === undefined &&
        good.some((one) => linked(world, proxy, one));
      if (near) {
        this.out.delete(proxy);
        if (this.#since.get(proxy)?.life !== proxy.life)
          this.#since.set(proxy, { life: proxy.life, at: world.agenda.now });
      } else {
        this.out.add(proxy);
        this.#since.delete(proxy);
      }
    }
  }

  /** For how long a node has been in reach. */
  span(proxy: SimProxy): number {
    const since = this.#since.get(proxy);
    return since === undefined || since.life !== proxy.life ? 0 : this.#world.agenda.now - since.at;
  }

  /** For how long there has been a side where writes can be taken. */
  coreSpan(): number {
    return this.#core === undefined ? 0 : this.#world.agenda.now - this.#core;
  }
}
