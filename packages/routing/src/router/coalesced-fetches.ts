/**
 * Request coalescing (single flight): a request for an object that is being fetched waits for that fetch. Requests that
 * arrive after a purge never join a fetch that started before it.
 */

import { type Timestamp, elapsedMs } from '@switchwheel/types';
import type { IncomingRequest, ReplyCallback, Requester } from './ports.js';

/** Maximum age of a fetch that requests may join; bounds the age of the response that they receive. */
const maxJoinAgeMs = 1000;

/** A request that waits for another request's fetch of the same object. */
export interface Waiter {
  readonly request: IncomingRequest;
  readonly reply: ReplyCallback;
  readonly deadline: Timestamp;
  readonly requester: Requester;
  /** True once the reply was sent or the client has disconnected. */
  isDone: boolean;
  /** Cancels the request when its client disconnects; set once the request was resubmitted on its own. */
  cancel: (() => void) | undefined;
}

/** A fetch in progress that later requests for the same object may join. */
export interface CoalescedFetch {
  readonly startedAt: Timestamp;
  /** Lifetime of the route when the fetch started: another edge may reply with a copy of up to this age. */
  readonly lifetimeMs: number;
  readonly purgeEpoch: number;
  readonly waiters: Waiter[];
}

/** The latest fetch of each object, by coalescing key. */
export class CoalescedFetches {
  readonly #fetches = new Map<string, CoalescedFetch>();
  readonly #maxAgeMs: number;
  #purgeEpoch = 0;

  /** Fetches older than half of the maximum purge lag can't be joined either. */
  constructor(maxPurgeLagMs: number) {
    this.#maxAgeMs = Math.min(maxJoinAgeMs, maxPurgeLagMs / 2);
  }

  /** Called after purges were applied: no request joins a fetch that started earlier. */
  onPurged(): void {
    this.#purgeEpoch += 1;
  }

  /** Returns the fetch that a request for an object of the given lifetime may join, if there is one. */
  findJoinable(key: string, lifetimeMs: number, now: Timestamp): CoalescedFetch | undefined {
    const fetch = this.#fetches.get(key);
    if (fetch === undefined || fetch.purgeEpoch !== this.#purgeEpoch) return undefined;
    if (fetch.lifetimeMs > lifetimeMs) return undefined;
    return elapsedMs(fetch.startedAt, now) < this.#maxAgeMs ? fetch : undefined;
  }

  /** Starts a fetch; later requests join it instead of an older one. */
  begin(key: string, lifetimeMs: number, now: Timestamp): CoalescedFetch {
    const fetch = { startedAt: now, lifetimeMs, purgeEpoch: this.#purgeEpoch, waiters: [] };
    this.#fetches.set(key, fetch);
    return fetch;
  }

  /** Removes a fetch that has ended, unless a newer fetch of the same object has replaced it. */
  end(key: string, fetch: CoalescedFetch | undefined): void {
    if (this.#fetches.get(key) === fetch) this.#fetches.delete(key);
  }
}

/** Adds a request to the waiters of a fetch; returns the callback for a disconnect of its client. */
export const joinFetch = (
  fetch: CoalescedFetch,
  waiterOptions: Pick<Waiter, 'request' | 'reply' | 'deadline' | 'requester'>,
): (() => void) => {
  const waiter: Waiter = { ...waiterOptions, isDone: false, cancel: undefined };
  fetch.waiters.push(waiter);
  return () => {
    waiter.isDone = true;
    waiter.cancel?.();
  };
};
