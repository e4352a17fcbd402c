import type { Fleet, Machine } from './fleet.js';

/** How often the platform asks each edge whether it is ready. */
const probeIntervalMs = 250;

/** A stand-in for the platform: it sends callers only to edges that reported ready when last asked. */
export class ReadinessProbe {
  readonly #fleet: Fleet;
  readonly #readyNames = new Set<string>();
  #timer: NodeJS.Timeout | undefined;

  constructor(fleet: Fleet) {
    this.#fleet = fleet;
  }

  get readyEdges(): readonly Machine[] {
    return this.#fleet.edges.filter((one) => this.#readyNames.has(one.name));
  }

  async probe(): Promise<void> {
    await Promise.all(
      this.#fleet.edges.map(async (one) => {
        const up = await this.#fleet.isReady(one).catch(() => false);
        if (up) this.#readyNames.add(one.name);
        else this.#readyNames.delete(one.name);
      }),
    );
  }

  start(): void {
    this.#timer = setInterval(() => {
      void this.probe();
    }, probeIntervalMs);
  }

  stop(): void {
    clearInterval(this.#timer);
  }
}
