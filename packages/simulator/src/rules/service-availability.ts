/** Availability of each service at each edge, derived from the state of the fleet. */

import type { ServiceName } from '@switchwheel/types';
import type { SimulatedProxy } from '../processes/proxy.js';
import type { World } from '../world/world.js';
import { type Reachability, areConnected } from './reachability.js';

const keyOf = (edge: SimulatedProxy, service: ServiceName): string => `${edge.node} ${service}`;

/** Tracks since when each edge has owed each service a result without a break: it is reachable and ready, connected to the only service leader, and all origins are healthy. */
export class ServiceAvailability {
  readonly #world: World;
  readonly #reachability: Reachability;
  readonly #availableSince = new Map<
    string,
    { readonly leader: SimulatedProxy; readonly incarnationNumber: number; readonly at: number }
  >();

  constructor(world: World, reachability: Reachability) {
    this.#world = world;
    this.#reachability = reachability;
  }

  sample(): void {
    const world = this.#world;
    for (const { name: service } of world.layout.services) {
      const origins = world.origins.filter(
        (origin) => origin.service === service && origin.isAlive,
      );
      const areOriginsHealthy =
        origins.length > 0 &&
        origins.every((origin) => origin.state === 'up' && origin.isHealthy) &&
        !world.origins.some(
          (origin) =>
            origin.service === service &&
            !origin.isAlive &&
            world.eventQueue.now - origin.crashedAt < 11_000,
        );
      const leaders = world.shields.filter(
        (candidate) =>
          candidate.state?.activeLeaders.has(service) === true &&
          this.#reachability.reachableForMs(candidate) > 0 &&
          world.network.isOpen(candidate.node, 'origins'),
      );
      const leader = leaders.length === 1 ? leaders[0] : undefined;
      for (const edge of world.edges) {
        const key = keyOf(edge, service);
        const previous = this.#availableSince.get(key);
        if (
          !areOriginsHealthy ||
          leader === undefined ||
          this.#reachability.reachableForMs(edge) === 0 ||
          !edge.isReady ||
          !areConnected(world, edge, leader)
        )
          this.#availableSince.delete(key);
        else if (
          previous?.leader !== leader ||
          previous.incarnationNumber !== leader.incarnationNumber
        )
          this.#availableSince.set(key, {
            leader,
            incarnationNumber: leader.incarnationNumber,
            at: world.eventQueue.now,
          });
      }
    }
  }

  /** Time for which a service has been continuously available at an edge, in milliseconds. */
  availableForMs(edge: SimulatedProxy, service: ServiceName): number {
    const entry = this.#availableSince.get(keyOf(edge, service));
    return entry === undefined ? 0 : this.#world.eventQueue.now - entry.at;
  }
}
