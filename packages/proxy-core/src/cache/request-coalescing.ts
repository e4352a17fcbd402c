/**
 * Request coalescing: requests for the same response wait for one fetch instead of starting one each.
 */

/** Whether a request waits for a fetch: there may be none, or too many wait already. */
export type JoinResult = 'joined' | 'none' | 'full';

/** The fetches under way, by a key that equal requests share. */
export class RequestCoalescing<T> {
  readonly #inFlight = new Map<string, ((result: T) => void)[]>();
  readonly #maxWaiting: number;
  #waiting = 0;

  /** At most `maxWaiting` requests wait for all fetches together. */
  constructor(maxWaiting: number) {
    this.#maxWaiting = maxWaiting;
  }

  /** Waits for a fetch under way; `onResult` is called with its result. */
  join(key: string, onResult: (result: T) => void): JoinResult {
    const waiting = this.#inFlight.get(key);
    if (waiting === undefined) return 'none';
    if (this.#waiting >= this.#maxWaiting) return 'full';
    this.#waiting += 1;
    waiting.push(onResult);
    return 'joined';
  }

  /** Leads a fetch, which others may join until the function that this returns gets its result. */
  lead(key: string): (result: T) => void {
    const waiting: ((result: T) => void)[] = [];
    this.#inFlight.set(key, waiting);
    return (result) => {
      if (this.#inFlight.get(key) === waiting) this.#inFlight.delete(key);
      const notified = waiting.splice(0);
      this.#waiting -= notified.length;
      for (const onResult of notified) onResult(result);
    };
  }

  /** Lets nobody join the fetches under way any more: a purge may mean what they bring. */
  detachAll(): void {
    this.#inFlight.clear();
  }
}
