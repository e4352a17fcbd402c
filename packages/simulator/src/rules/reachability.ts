/**
 * Which nodes can reach a part of the fleet that takes writes, and since when: only they can be
 * held to most rules.
 */

import type { SimulatedProxy } from '../processes/proxy.js';
import type { SimulatedRegistry } from '../processes/registry.js';
import type { SimulatedProcess } from '../world/process.js';
import type { World } from '../world/world.js';

const isRunning = (process: SimulatedProcess): boolean => process.isAlive && !process.isFrozen;

/** Whether two processes can reach each other, both ways, by the state of the network and of both. */
export const areConnected = (
  world: World,
  left: SimulatedProcess,
  right: SimulatedProcess,
): boolean =>
  left === right ||
  (isRunning(left) &&
    isRunning(right) &&
    world.network.isOpen(left.node, right.node) &&
    world.network.isOpen(right.node, left.node));

/** The registries on the side where a primary is or can come to be: with a store in sync that a majority of voters can reach. */
export const registriesWithQuorum = (world: World): readonly SimulatedRegistry[] => {
  // What a dead store's disk says counts: what it alone confirmed, nobody else can serve.
  const metadata = world.stores
    .map((store) => store.state?.metadata ?? store.disk.synced.at(-1)?.metadata)
    .filter((one) => one !== undefined)
    .sort((one, right) => right.epoch - one.epoch)[0];
  if (metadata === undefined) return [];
  const voters = world.registries.filter((registry) =>
    metadata.electorate.members.some((member) => member.node === registry.node),
  );
  const half = metadata.electorate.members.length / 2;
  const stores = world.stores.filter(
    (store) =>
      metadata.inSyncSet.includes(store.node) &&
      isRunning(store) &&
      voters.filter((registry) => areConnected(world, store, registry)).length > half,
  );
  return world.registries.filter(
    (registry) =>
      isRunning(registry) &&
      stores.some((store) => areConnected(world, registry, store)) &&
      voters.filter((other) => areConnected(world, registry, other)).length > half,
  );
};

/** Since when each node is in reach of the fleet without a break. */
export class Reachability {
  readonly #world: World;
  readonly #reachableSince = new Map<
    SimulatedProxy,
    { readonly incarnationNumber: number; readonly at: number }
  >();
  #coreAvailableSince: number | undefined;
  /** The nodes that were out of reach at the last look. */
  readonly unreachable = new Set<SimulatedProxy>();

  constructor(world: World) {
    this.#world = world;
  }

  sample(): void {
    const world = this.#world;
    const quorumRegistries = registriesWithQuorum(world);
    this.#coreAvailableSince =
      quorumRegistries.length === 0
        ? undefined
        : (this.#coreAvailableSince ?? world.eventQueue.now);
    for (const proxy of world.proxies) {
      const isReachable =
        isRunning(proxy) &&
        !proxy.failsToCompile &&
        proxy.state?.nodeAgent.failedUpdate === undefined &&
        quorumRegistries.some((registry) => areConnected(world, proxy, registry));
      if (isReachable) {
        this.unreachable.delete(proxy);
        if (this.#reachableSince.get(proxy)?.incarnationNumber !== proxy.incarnationNumber)
          this.#reachableSince.set(proxy, {
            incarnationNumber: proxy.incarnationNumber,
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
    return since === undefined || since.incarnationNumber !== proxy.incarnationNumber
      ? 0
      : this.#world.eventQueue.now - since.at;
  }

  /** For how long there has been a side where writes can be taken. */
  coreAvailableForMs(): number {
    return this.#coreAvailableSince === undefined
      ? 0
      : this.#world.eventQueue.now - this.#coreAvailableSince;
  }
}
