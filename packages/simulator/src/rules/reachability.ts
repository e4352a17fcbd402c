/**
 * Reachability: which nodes can reach the part of the fleet that accepts writes, and since when.
 * Most rules apply only to these nodes.
 */

import type { SimulatedProxy } from '../processes/proxy.js';
import type { SimulatedRegistry } from '../processes/registry.js';
import type { SimulatedProcess } from '../world/process.js';
import type { World } from '../world/world.js';

const isRunning = (process: SimulatedProcess): boolean => process.isAlive && !process.isFrozen;

/** Whether two processes run and the links between them are open in both directions. */
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

/** Registries that can reach a majority of voters and an in-sync store with such a majority: on their side a primary exists or can be elected. */
export const registriesWithQuorum = (world: World): readonly SimulatedRegistry[] => {
  // The disks of dead stores count too: writes that only such a store holds can't be served by others.
  const metadata = world.stores
    .map((store) => store.state?.metadata ?? store.disk.synced.at(-1)?.metadata)
    .filter((stored) => stored !== undefined)
    .sort((left, right) => right.epoch - left.epoch)[0];
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

/** Tracks since when each node has been continuously reachable. */
export class Reachability {
  readonly #world: World;
  readonly #reachableSince = new Map<
    SimulatedProxy,
    { readonly incarnationNumber: number; readonly at: number }
  >();
  #coreAvailableSince: number | undefined;
  /** Nodes that were unreachable at the last sample. */
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

  /** Time for which a node has been continuously reachable, in milliseconds. */
  reachableForMs(proxy: SimulatedProxy): number {
    const since = this.#reachableSince.get(proxy);
    return since === undefined || since.incarnationNumber !== proxy.incarnationNumber
      ? 0
      : this.#world.eventQueue.now - since.at;
  }

  /** Time for which some part of the fleet could accept writes, in milliseconds. */
  coreAvailableForMs(): number {
    return this.#coreAvailableSince === undefined
      ? 0
      : this.#world.eventQueue.now - this.#coreAvailableSince;
  }
}
