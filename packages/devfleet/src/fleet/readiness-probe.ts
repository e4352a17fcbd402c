/** Readiness probe in place of the platform's load balancer: only edges that were ready at the last probe get requests. */

import type { Fleet } from './fleet.js';
import type { Machine } from './machine.js';

const probeIntervalMs = 250;

/** Probes the edges of a fleet for readiness. */
export class ReadinessProbe {
  readonly #fleet: Fleet;
  readonly #readyNames = new Set<string>();
  #timer: NodeJS.Timeout | undefined;

  constructor(fleet: Fleet) {
    this.#fleet = fleet;
  }

  /** Edges that were ready at their last probe. */
  get readyEdges(): readonly Machine[] {
    return this.#fleet.edges.filter((edge) => this.#readyNames.has(edge.name));
  }

  /** Probes every edge once. */
  async probe(): Promise<void> {
    await Promise.all(
      this.#fleet.edges.map(async (edge) => {
        const isReady = await this.#fleet.isReady(edge).catch(() => false);
        if (isReady) this.#readyNames.add(edge.name);
        else this.#readyNames.delete(edge.name);
      }),
    );
  }

  /** Probes every edge periodically until stopped. */
  start(): void {
    this.#timer = setInterval(() => {
      void this.probe();
    }, probeIntervalMs);
  }

  /** Stops the periodic probes. */
  stop(): void {
    clearInterval(this.#timer);
  }
}
