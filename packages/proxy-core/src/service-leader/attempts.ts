/**
 * Bookkeeping of attempts: slots, tokens, canary counts and the budget of extra attempts. Whether
 * an attempt may start is decided in `admission` and `hedging`.
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

/** Maximum number of attempts per request, the first one included. */
export const maxAttempts = 3;

/**
 * Picks the endpoint for the next attempt of a request: one not tried yet or, if no attempt can
 * have run the request, any.
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

/** Records the start of an attempt. */
const withAttempt = (
  state: ServiceLeader,
  request: PendingRequest,
  endpoint: Endpoint,
  attempt: Attempt,
): ServiceLeader => {
  const { recentRequests, recentExtraAttempts } = state;
  const { startedAt } = attempt;
  const isExtra = request.attemptCount > 0;
  return {
    ...countCanaryRequest(state, endpoint.release),
    nextAttemptId: attempt.id + 1,
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
    recentRequests: isExtra ? recentRequests : addToWindow(recentRequests, startedAt, 1),
    recentExtraAttempts: isExtra
      ? addToWindow(recentExtraAttempts, startedAt, 1)
      : recentExtraAttempts,
  };
};

/**
 * Starts an attempt of a request at an endpoint. Every attempt after the first counts as an extra
 * one.
 */
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
  return transition(withAttempt(state, request, endpoint, attempt), {
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

/**
 * Frees the slot of an ended attempt; an endpoint that is no longer live is removed with its last
 * attempt.
 */
export const removeAttempt = (state: ServiceLeader, attempt: Attempt): ServiceLeader => ({
  ...state,
  attempts: withoutEntry(state.attempts, attempt.id),
  endpoints: endpointsWithout(state, attempt),
});

/** Returns the attempts of a request that are in progress. */
export const attemptsOf = (state: ServiceLeader, requestId: RequestId): readonly Attempt[] =>
  [...state.attempts.values()].filter((attempt) => attempt.requestId === requestId);
