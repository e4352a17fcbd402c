/** Record that the load generator keeps of each request. */

import type { Traffic } from '../deployment/schema.js';

/** Outcome of a request as its client saw it. */
export interface RequestOutcome {
  /** HTTP status; 0 if there was no response. */
  readonly status: number;
  /**
   * `result`, the error kind of the response (such as `rejected` or `unknown`), or `status` followed by the code of an error
   * status without a kind; `broken` if the connection failed and `closed` if it was refused.
   */
  readonly outcome: string;
  /** Tier that answered, from the header `switchwheel-from`; empty if the header is missing. */
  readonly answeredBy: string;
  /** Whether the body equals the one that the origin sends for this request; `unread` if it was not compared. */
  readonly bodyMatches: 'yes' | 'no' | 'unread';
  /** Revision of the object in the body; undefined if the body has none. */
  readonly revision: number | undefined;
  /** Text of the error response; empty for results. */
  readonly reason: string;
}

/** Request with its outcome and timing. */
export interface RequestRecord extends RequestOutcome {
  readonly traffic: Traffic;
  readonly id: string;
  readonly path: string;
  /** Time of sending by `performance.now()`, in milliseconds. */
  readonly sentAt: number;
  readonly elapsedMs: number;
  /** Name of the edge that received the request. */
  readonly edge: string;
}
