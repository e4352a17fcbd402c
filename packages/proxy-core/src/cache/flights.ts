/** Whether a request found a fetch to wait for. */
export type Seat = 'joined' | 'none' | 'full';

/** Fetches under way that others with the very same key may wait for. */
export class Flights<T> {
  readonly #open = new Map<string, ((result: T) => void)[]>();
  readonly #most: number;
  #waiting = 0;

  /** At most so many wait in all. */
  constructor(most: number) {
    this.#most = most;
  }

  /** Joins a fetch under way, if there is one with room. */
  join(key: string, then: (result: T) => void): Seat {
    const waiting = this.#open.get(key);
    if (waiting === undefined) return 'none';
    if (this.#waiting >= this.#most) return 'full';
    this.#waiting += 1;
    waiting.push(then);
    return 'joined';
  }

  /** Leads a fetch that others may join until the given function is called with its result. */
  lead(key: string): (result: T) => void {
    const waiting: ((result: T) => void)[] = [];
    this.#open.set(key, waiting);
    return (result) => {
      if (this.#open.get(key) === waiting) this.#open.delete(key);
      const told = waiting.splice(0);
      this.#waiting -= told.length;
      for (const then of told) then(result);
    };
  }

  /** After a purge nobody joins what began before it. */
  close(): void {
    this.#open.clear();
  }
}
