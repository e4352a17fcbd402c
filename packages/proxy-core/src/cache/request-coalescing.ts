/**
 * Request coalescing: concurrent requests for the same response share one fetch.
 */

/** Result of joining a fetch: joined, no fetch in progress, or too many waiting requests. */
export type JoinResult = 'joined' | 'none' | 'full';

/** Fetches in progress, by a key that equal requests share. */
export class RequestCoalescing<T> {
  readonly #inFlight = new Map<string, ((result: T) => void)[]>();
  readonly #maxWaiters: number;
  #waiterCount = 0;

  /** `maxWaiters` limits the number of waiting requests over all fetches. */
  constructor(maxWaiters: number) {
    this.#maxWaiters = maxWaiters;
  }

  /** Joins a fetch in progress; `onResult` is called with its result. */
  join(key: string, onResult: (result: T) => void): JoinResult {
    const waiters = this.#inFlight.get(key);
    if (waiters === undefined) return 'none';
    if (this.#waiterCount >= this.#maxWaiters) return 'full';
    this.#waiterCount += 1;
    waiters.push(onResult);
    return 'joined';
  }

  /**
   * Starts a fetch that others may join; the returned function completes it and passes the result
   * to them.
   */
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

  /** Prevents joining the fetches in progress, since a purge may target their results. */
  detachAll(): void {
    this.#inFlight.clear();
  }
}
