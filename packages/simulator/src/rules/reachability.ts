import type { SimulatedProxy } from '../processes/proxy.js';
import type { SimulatedRegistry } from '../processes/registry.js';
import type { SimulatedProcess } from '../world/process.js';
import type { World } from '../world/world.js';

const isRunning = (actor: SimulatedProcess): boolean => actor.isAlive && !actor.isFrozen;

/** Whether two processes can reach each other, both ways, by the state of the network and of both. */
export const areConnected = (world: World, one: SimulatedProcess, two: SimulatedProcess): boolean =>
  one === two ||
  (isRunning(one) &&
    isRunning(two) &&
    world.network.isOpen(one.node, two.node) &&
    world.network.isOpen(two.node, one.node));

/** The registries on the side where a primary is or can come to be: with a store in sync that a majority of voters can reach. */
export const registriesWithQuorum = (world: World): readonly SimulatedRegistry[] => {
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
      isRunning(store) &&
      seats.filter((one) => areConnected(world, store, one)).length > half,
  );
  return world.registries.filter(
    (one) =>
      isRunning(one) &&
      stores.some((store) => areConnected(world, one, store)) &&
      seats.filter((other) => areConnected(world, one, other)).length > half,
  );
};

/** Since when each node is in reach of the fleet without a break. */
export class Reachability {
  readonly #world: World;
  readonly #reachableSince = new Map<
    SimulatedProxy,
    { readonly life: number; readonly at: number }
  >();
  #coreSince: number | undefined;
  /** The nodes that were out of reach at the last look. */
  readonly unreachable = new Set<SimulatedProxy>();

  constructor(world: World) {
    this.#world = world;
  }

  sample(): void {
    const world = this.#world;
    const good = registriesWithQuorum(world);
    this.#coreSince = good.length === 0 ? undefined : (this.#coreSince ?? world.eventQueue.now);
    for (const proxy of world.proxies) {
      const near =
        isRunning(proxy) &&
        !proxy.failsToCompile &&
        proxy.state?.nodeAgent.failedUpdate === undefined &&
        good.some((one) => areConnected(world, proxy, one));
      if (near) {
        this.unreachable.delete(proxy);
        if (this.#reachableSince.get(proxy)?.life !== proxy.incarnationNumber)
          this.#reachableSince.set(proxy, {
            life: proxy.incarnationNumber,
            at: world.eventQueue.now,
          });
      } else {
        this.unreachable.add(proxy);
        this.#reachableSince.delete(proxy);
      }
    }
  }

  /** For how long a node has been in reach. */
  reachableForMs(proxy: SimulatedProxy): number {
    const since = this.#reachableSince.get(proxy);
    return since === undefined || since.life !== proxy.incarnationNumber
      ? 0
      : this.#world.eventQueue.now - since.at;
  }

  /** For how long there has been a side where writes can be taken. */
  coreAvailableForMs(): number {
    return this.#coreSince === undefined ? 0 : this.#world.eventQueue.now - this.#coreSince;
  }
}
