/**
 * Request coalescing: requests for the same response wait for one fetch instead of starting one each.
 */

/** Whether a request waits for a fetch: there may be none, or too many wait already. */
export type JoinResult = 'joined' | 'none' | 'full';

/** The fetches under way, by a key that equal requests share. */
export class RequestCoalescing<T> {
  readonly #inFlight = new Map<string, ((result: T) => void)[]>();
  readonly #maxWaiters: number;
  #waiterCount = 0;

  /** At most `maxWaiters` requests wait for all fetches together. */
  constructor(maxWaiters: number) {
    this.#maxWaiters = maxWaiters;
  }

  /** Waits for a fetch under way; `onResult` is called with its result. */
  join(key: string, onResult: (result: T) => void): JoinResult {
    const waiters = this.#inFlight.get(key);
    if (waiters === undefined) return 'none';
    if (this.#waiterCount >= this.#maxWaiters) return 'full';
    this.#waiterCount += 1;
    waiters.push(onResult);
    return 'joined';
  }

  /** Leads a fetch, which others may join until the function that this returns gets its result. */
  startFetch(key: string): (result: T) => void {
    const waiters: ((result: T) => void)[] = [];
    this.#inFlight.set(key, waiters);
    return (result) => {
      if (this.#inFlight.get(key) === waiters) this.#inFlight.delete(key);
      const notifiedWaiters = waiters.splice(0);
      this.#waiterCount -= notifiedWaiters.length;
      for (const onResult of notifiedWaiters) onResult(result);
    };
  }

  /** Lets nobody join the fetches under way any more: a purge may mean what they bring. */
  detachAll(): void {
    this.#inFlight.clear();
  }
}
