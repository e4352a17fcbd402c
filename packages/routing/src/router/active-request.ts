/** State that the edge router keeps per request in progress; `requestTransition` makes the decisions. */

import {
  type Release,
  type Seq,
  type ServiceName,
  type Timestamp,
  addMs,
} from '@switchwheel/types';
import type { CompiledRoute } from '@switchwheel/configuration';
import type { CacheableRequest } from '@switchwheel/proxy-core';
import type { RequestState } from '../attempt-state/attempt-state.js';
import type { EndpointStats } from '../endpoint/endpoint-table.js';
import type { CoalescedFetch } from './coalesced-fetches.js';
import type { IncomingRequest, ReplyCallback } from './ports.js';

/** Time before the client's timeout at which the edge gives up, so that the reply arrives in time. */
const deadlineMarginMs = 15;

/** An attempt that was sent to an origin and has not finished. */
export interface InFlightAttempt {
  readonly endpoint: EndpointStats;
  /** Release of the endpoint at the time of sending. */
  readonly release: Release;
  readonly startedAt: Timestamp;
  cancel: () => void;
}

/** Time at which an attempt was sent, and the last purge applied by then. */
export interface AttemptStart {
  readonly sentAt: Timestamp;
  readonly purgeSeq: Seq;
}

/** A request in progress: its state machine together with the body, callbacks and attempts in flight. */
export interface ActiveRequest {
  readonly id: number;
  readonly request: IncomingRequest;
  readonly route: CompiledRoute;
  readonly service: ServiceName;
  /** Defined if the response may be cached and shared. */
  readonly cacheable: CacheableRequest | undefined;
  /** Fetch that later requests may join. A newer fetch of the same object has its own waiters. */
  readonly fetch: CoalescedFetch | undefined;
  readonly reply: ReplyCallback;
  readonly inFlight: Map<number, InFlightAttempt>;
  readonly attemptStarts: Map<number, AttemptStart>;
  state: RequestState;
  /** Time at which a hedge is due, if one is still to be sent. */
  hedgeAt: Timestamp | undefined;
  isClientDisconnected: boolean;
}

/** Returns the time at which this edge gives up: shortly before the earlier of the client's and the route's timeouts. */
export const deadlineOf = (
  request: IncomingRequest,
  route: CompiledRoute,
  now: Timestamp,
): Timestamp => {
  const timeoutMs = Math.min(route.timeoutMs, request.timeoutMs ?? route.timeoutMs);
  return addMs(now, Math.max(1, timeoutMs - deadlineMarginMs));
};
