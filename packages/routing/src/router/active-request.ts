/** What the edge router holds of one request that is in progress. It decides nothing: that is `requestTransition`'s. */

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

/** How much earlier than its client the edge gives up, so that the reply still arrives. */
const deadlineMarginMs = 15;

/** An attempt that was sent to an origin and has not ended. */
export interface InFlightAttempt {
  readonly endpoint: EndpointStats;
  /** The endpoint's release when the attempt was sent. */
  readonly release: Release;
  readonly startedAt: Timestamp;
  cancel: () => void;
}

/** When an attempt was sent, and the last purge that had been applied by then. */
export interface AttemptStart {
  readonly sentAt: Timestamp;
  readonly purgeSeq: Seq;
}

/** A request in progress, with the bodies and callbacks that its state machine knows nothing of. */
export interface ActiveRequest {
  readonly id: number;
  readonly request: IncomingRequest;
  readonly route: CompiledRoute;
  readonly service: ServiceName;
  /** Set if the response may be cached and shared. */
  readonly cacheable: CacheableRequest | undefined;
  /** Those who wait for this very fetch: a newer one of the same object has its own. */
  readonly fetch: CoalescedFetch | undefined;
  readonly reply: ReplyCallback;
  readonly inFlight: Map<number, InFlightAttempt>;
  readonly attemptStarts: Map<number, AttemptStart>;
  state: RequestState;
  /** When a hedge is due. */
  hedgeAt: Timestamp | undefined;
  isClientDisconnected: boolean;
}

/** When this edge gives a request up: a little before its client does, or at the route's timeout. */
export const deadlineOf = (
  request: IncomingRequest,
  route: CompiledRoute,
  now: Timestamp,
): Timestamp => {
  const timeoutMs = Math.min(route.timeoutMs, request.timeoutMs ?? route.timeoutMs);
  return addMs(now, Math.max(1, timeoutMs - deadlineMarginMs));
};
