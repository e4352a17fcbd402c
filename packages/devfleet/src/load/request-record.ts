/** What the load generator notes of each request that it sent. */

import type { Traffic } from '../deployment/schema.js';

/** How one request ended, as its client saw it. */
export interface RequestOutcome {
  /** The HTTP status; 0 if there was no response. */
  readonly status: number;
  /**
   * `result`, `rejected`, `unknown`, or what else the response called itself; `broken` where the connection broke and
   * `closed` where it was refused.
   */
  readonly outcome: string;
  /** Which tier answered, by the header `switchwheel-from`; empty if none did. */
  readonly answeredBy: string;
  /** Whether the body is the one that the origin sends for this request. */
  readonly bodyMatches: 'yes' | 'no' | 'unread';
  /** The revision of the object in the body, where it has one. */
  readonly revision: number | undefined;
  /** The reason that a rejection or a failure gave. */
  readonly reason: string;
}

/** One request with its outcome. */
export interface RequestRecord extends RequestOutcome {
  readonly traffic: Traffic;
  readonly id: string;
  readonly path: string;
  /** Milliseconds of `performance.now()`. */
  readonly sentAt: number;
  readonly elapsedMs: number;
  /** The name of the edge that it was sent to. */
  readonly edge: string;
}
