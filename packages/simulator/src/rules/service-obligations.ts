/** Since when each edge can serve each service, as far as the fleet's state tells. */

import type { ServiceName } from '@switchwheel/types';
import type { SimulatedProxy } from '../processes/proxy.js';
import type { World } from '../world/world.js';
import { type Reachability, areConnected } from './reachability.js';

const keyOf = (edge: SimulatedProxy, service: ServiceName): string => `${edge.node} ${service}`;

/** Since when each edge has owed each service a result: it is in reach and ready, has a way to one live service leader, and all its origins are healthy. */
export class ServiceObligations {
  readonly #world: World;
  readonly #reachability: Reachability;
  readonly #owedSince = new Map<
    string,
    { readonly keeper: SimulatedProxy; readonly life: number; readonly at: number }
  >();

  constructor(world: World, reach: Reachability) {
    this.#world = world;
    this.#reachability = reach;
  }

  sample(): void {
    const world = this.#world;
    for (const { name } of world.layout.services) {
      const origins = world.origins.filter((one) => one.service === name && one.isAlive);
      const well =
        origins.length > 0 &&
        origins.every((one) => one.state === 'up' && one.isHealthy) &&
        !world.origins.some(
          (one) =>
            one.service === name && !one.isAlive && world.eventQueue.now - one.crashedAt < 11_000,
        );
      const keepers = world.shields.filter(
        (one) =>
          one.state?.activeLeaders.has(name) === true &&
          this.#reachability.reachableForMs(one) > 0 &&
          world.network.isOpen(one.node, 'origins'),
      );
      const keeper = keepers.length === 1 ? keepers[0] : undefined;
      for (const edge of world.edges) {
        const key = keyOf(edge, name);
        const old = this.#owedSince.get(key);
        if (
          !well ||
          keeper === undefined ||
          this.#reachability.reachableForMs(edge) === 0 ||
          !edge.isReady ||
          !areConnected(world, edge, keeper)
        )
          this.#owedSince.delete(key);
        else if (old?.keeper !== keeper || old.life !== keeper.incarnationNumber)
          this.#owedSince.set(key, {
            keeper,
            life: keeper.incarnationNumber,
            at: world.eventQueue.now,
          });
      }
    }
  }

  /** For how long a result has been owed without a break. */
  owedForMs(edge: SimulatedProxy, service: ServiceName): number {
    const row = this.#owedSince.get(keyOf(edge, service));
    return row === undefined ? 0 : this.#world.eventQueue.now - row.at;
  }
}
