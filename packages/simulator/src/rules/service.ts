import type { ServiceName } from '@switchwheel/types';
import type { SimProxy } from '../cast/proxy.js';
import type { World } from '../world/world.js';
import { type Reach, linked } from './reach.js';

const keyOf = (edge: SimProxy, service: ServiceName): string => `${edge.node} ${service}`;

/** Since when each edge has owed each service a result: it is in reach and ready, has a way to one live keeper, and nothing ails the origins. */
export class Owed {
  readonly #world: World;
  readonly #reach: Reach;
  readonly #since = new Map<
    string,
    { readonly keeper: SimProxy; readonly life: number; readonly at: number }
  >();

  constructor(world: World, reach: Reach) {
    this.#world = world;
    this.#reach = reach;
  }

  look(): void {
    const world = this.#world;
    for (const { name } of world.layout.services) {
      const origins = world.origins.filter((one) => one.service === name && one.alive);
      const well =
        origins.length > 0 &&
        origins.every((one) => one.state === 'up' && one.well) &&
        !world.origins.some(
          (one) => one.service === name && !one.alive && world.agenda.now - one.diedAt < 11_000,
        );
      const keepers = world.shields.filter(
        (one) =>
          one.state?.activeLeaders.has(name) === true &&
          this.#reach.span(one) > 0 &&
          world.net.open(one.node, 'origins'),
      );
      const keeper = keepers.length === 1 ? keepers[0] : undefined;
      for (const edge of world.edges) {
        const key = keyOf(edge, name);
        const old = this.#since.get(key);
        if (
          !well ||
          keeper === undefined ||
          this.#reach.span(edge) === 0 ||
          !edge.ready ||
          !linked(world, edge, keeper)
        )
          this.#since.delete(key);
        else if (old?.keeper !== keeper || old.life !== keeper.life)
          this.#since.set(key, { keeper, life: keeper.life, at: world.agenda.now });
      }
    }
  }

  /** For how long a result has been owed without a break. */
  span(edge: SimProxy, service: ServiceName): number {
    const row = this.#since.get(keyOf(edge, service));
    return row === undefined ? 0 : this.#world.agenda.now - row.at;
  }
}
