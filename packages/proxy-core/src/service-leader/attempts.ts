/**
 * Starting and removing attempts: the books of a service leader over what it has sent to origins.
 * Whether a request may start one is decided in `admission` and `hedging`.
 */

import {
  type RequestId,
  type Timestamp,
  transition,
  withEntry,
  withoutEntry,
} from '@switchwheel/types';
import { countCanaryRequest, mayReceiveTraffic } from './canary.js';
import { pickEndpoint } from './endpoints.js';
import { tokensAfterSend } from './rate-limit.js';
import { addToWindow } from './sliding-window.js';
import type {
  Attempt,
  Endpoint,
  LeaderTransition,
  PendingRequest,
  ServiceLeader,
} from './state.js';

/** The most attempts that one request gets in all. */
export const maxAttempts = 3;

/**
 * The endpoint for the next attempt of a request: one that it has not tried; one that it has tried
 * only if none of its attempts can have run.
 */
export const pickForRequest = (
  state: ServiceLeader,
  request: PendingRequest,
  now: Timestamp,
): Endpoint | undefined =>
  pickEndpoint(
    state,
    (endpoint) =>
      !request.triedInstances.has(endpoint.instance) && mayReceiveTraffic(state, endpoint.release),
    now,
  ) ??
  (request.mayHaveRun
    ? undefined
    : pickEndpoint(state, (endpoint) => mayReceiveTraffic(state, endpoint.release), now));

/** Starts an attempt of a request at an endpoint, and counts it. */
export const startAttempt = (
  state: ServiceLeader,
  request: PendingRequest,
  endpoint: Endpoint,
  now: Timestamp,
): LeaderTransition => {
  const attempt: Attempt = {
    id: state.nextAttemptId,
    requestId: request.id,
    instance: endpoint.instance,
    release: endpoint.release,
    startedAt: now,
  };
  const isExtra = request.attemptCount > 0;
  const next: ServiceLeader = {
    ...countCanaryRequest(state, endpoint.release),
    nextAttemptId: state.nextAttemptId + 1,
    attempts: withEntry(state.attempts, attempt.id, attempt),
    endpoints: withEntry(state.endpoints, endpoint.instance, {
      ...endpoint,
      activeAttempts: endpoint.activeAttempts + 1,
      lastAttemptId: attempt.id,
    }),
    activeRequests: withEntry(state.activeRequests, request.id, {
      ...request,
      attemptCount: request.attemptCount + 1,
      triedInstances: new Set([...request.triedInstances, endpoint.instance]),
    }),
    tokens: tokensAfterSend(state),
    recentRequests: isExtra ? state.recentRequests : addToWindow(state.recentRequests, now, 1),
    recentExtraAttempts: isExtra
      ? addToWindow(state.recentExtraAttempts, now, 1)
      : state.recentExtraAttempts,
  };
  return transition(next, {
    kind: 'startAttempt',
    attemptId: attempt.id,
    requestId: request.id,
    instance: endpoint.instance,
    address: endpoint.address,
    release: endpoint.release,
    timeoutMs: Math.max(1, request.deadline - now),
  });
};

const endpointsWithout = (
  { endpoints }: ServiceLeader,
  attempt: Attempt,
): ServiceLeader['endpoints'] => {
  const endpoint = endpoints.get(attempt.instance);
  if (endpoint === undefined) return endpoints;
  if (!endpoint.isLive && endpoint.activeAttempts <= 1)
    return withoutEntry(endpoints, attempt.instance);
  return withEntry(endpoints, attempt.instance, {
    ...endpoint,
    activeAttempts: Math.max(0, endpoint.activeAttempts - 1),
  });
};

/** Frees the slot of an attempt that ended; an endpoint that left goes with its last attempt. */
export const removeAttempt = (state: ServiceLeader, attempt: Attempt): ServiceLeader => ({
  ...state,
  attempts: withoutEntry(state.attempts, attempt.id),
  endpoints: endpointsWithout(state, attempt),
});

/** The attempts of a request that are under way. */
export const attemptsOf = (state: ServiceLeader, requestId: RequestId): readonly Attempt[] =>
  [...state.attempts.values()].filter((attempt) => attempt.requestId === requestId);
