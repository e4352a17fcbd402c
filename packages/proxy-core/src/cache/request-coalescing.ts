/** Whether a request found a fetch to wait for. */
export type JoinResult = 'joined' | 'none' | 'full';

/** Fetches under way that others with the very same key may wait for. */
export class RequestCoalescing<T> {
  readonly #inFlight = new Map<string, ((result: T) => void)[]>();
  readonly #maxWaiting: number;
  #waiting = 0;

  /** At most so many wait in all. */
  constructor(most: number) {
    this.#maxWaiting = most;
  }

  /** Joins a fetch under way, if there is one with room. */
  join(key: string, then: (result: T) => void): JoinResult {
    const waiting = this.#inFlight.get(key);
    if (waiting === undefined) return 'none';
    if (this.#waiting >= this.#maxWaiting) return 'full';
    this.#waiting += 1;
    waiting.push(then);
    return 'joined';
  }

  /** Leads a fetch that others may join until the given function is called with its result. */
  lead(key: string): (result: T) => void {
    const waiting: ((result: T) => void)[] = [];
    this.#inFlight.set(key, waiting);
    return (result) => {
      if (this.#inFlight.get(key) === waiting) this.#inFlight.delete(key);
      const told = waiting.splice(0);
      this.#waiting -= told.length;
      for (const then of told) then(result);
    };
  }

  /** After a purge nobody joins what began before it. */
  detachAll(): void {
    this.#inFlight.clear();
  }
}
