/**
 * Request coalescing (single flight): requests for an object that is being fetched wait for that fetch. A fetch that
 * began before a purge is not joined by requests that came after it.
 */

import { type Timestamp, elapsedMs } from '@switchwheel/types';
import type { IncomingRequest, ReplyCallback } from './ports.js';

/** How young a fetch must be to be joined: what it brings is no older. */
const maxJoinAgeMs = 1000;

/** A request that waits for another one's fetch of the same object. */
export interface Waiter {
  readonly request: IncomingRequest;
  readonly reply: ReplyCallback;
  readonly deadline: Timestamp;
  /** Whether another edge asks. */
  readonly isForPeer: boolean;
  /** Set once it has its reply, or its client has left. */
  isDone: boolean;
  /** What to call when the client leaves after the request was sent on by itself. */
  cancel: (() => void) | undefined;
}

/** A fetch that later requests for the same object may join. */
export interface CoalescedFetch {
  readonly startedAt: Timestamp;
  readonly purgeEpoch: number;
  readonly waiters: Waiter[];
}

/** The newest fetch of each object, by coalescing key. */
export class CoalescedFetches {
  readonly #fetches = new Map<string, CoalescedFetch>();
  readonly #maxAgeMs: number;
  #purgeEpoch = 0;

  /** A fetch older than half the longest allowed purge lag is not joined either. */
  constructor(maxPurgeLagMs: number) {
    this.#maxAgeMs = Math.min(maxJoinAgeMs, maxPurgeLagMs / 2);
  }

  /** Purges were applied: nobody joins fetches that began before. */
  onPurged(): void {
    this.#purgeEpoch += 1;
  }

  /** The fetch that a request may join, if there is one. */
  findJoinable(key: string, now: Timestamp): CoalescedFetch | undefined {
    const fetch = this.#fetches.get(key);
    if (fetch === undefined || fetch.purgeEpoch !== this.#purgeEpoch) return undefined;
    return elapsedMs(fetch.startedAt, now) < this.#maxAgeMs ? fetch : undefined;
  }

  /** Begins a fetch; later requests join this one instead of an older one. */
  begin(key: string, now: Timestamp): CoalescedFetch {
    const fetch = { startedAt: now, purgeEpoch: this.#purgeEpoch, waiters: [] };
    this.#fetches.set(key, fetch);
    return fetch;
  }

  /** Ends a fetch; a newer one of the same object stays. */
  end(key: string, fetch: CoalescedFetch | undefined): void {
    if (this.#fetches.get(key) === fetch) this.#fetches.delete(key);
  }
}

/** Waits for a fetch; gives what to call when the client leaves. */
export const joinFetch = (
  fetch: CoalescedFetch,
  waiterOptions: Pick<Waiter, 'request' | 'reply' | 'deadline' | 'isForPeer'>,
): (() => void) => {
  const waiter: Waiter = { ...waiterOptions, isDone: false, cancel: undefined };
  fetch.waiters.push(waiter);
  return () => {
    waiter.isDone = true;
    waiter.cancel?.();
  };
};
