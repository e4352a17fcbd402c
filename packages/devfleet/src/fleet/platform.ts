import type { Fleet, Machine } from './fleet.js';

/** How often the platform asks each edge whether it is ready. */
const lookSpan = 250;

/** A stand-in for the platform: it sends callers only to edges that reported ready when last asked. */
export class Platform {
  readonly #fleet: Fleet;
  readonly #up = new Set<string>();
  #timer: NodeJS.Timeout | undefined;

  constructor(fleet: Fleet) {
    this.#fleet = fleet;
  }

  get ready(): readonly Machine[] {
    return this.#fleet.edges.filter((one) => this.#up.has(one.name));
  }

  async look(): Promise<void> {
    await Promise.all(
      this.#fleet.edges.map(async (one) => {
        const up = await this.#fleet.ready(one).catch(() => false);
        if (up) this.#up.add(one.name);
        else this.#up.delete(one.name);
      }),
    );
  }

  begin(): void {
    this.#timer = setInterval(() => {
      void this.look();
    }, lookSpan);
  }

  end(): void {
    clearInterval(this.#timer);
  }
}
