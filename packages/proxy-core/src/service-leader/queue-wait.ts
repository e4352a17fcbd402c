/**
 * Queueing delay: the estimate by which requests are rejected on arrival, and the check that
 * rejects queued requests which can't be served before their deadline.
 */

import { type ServiceClassName, type Timestamp, transition } from '@switchwheel/types';
import { classShare, withQueue } from './admission.js';
import { mayReceiveTraffic } from './canary.js';
import { totalCapacity } from './endpoints.js';
import { rejectRequest } from './reject-request.js';
import type {
  Endpoint,
  LeaderTransition,
  PendingRequest,
  ServiceLeader,
  ServiceLeaderEffect,
} from './state.js';

/** Time that requests wait for a usable endpoint before they are rejected. */
const noEndpointGraceMs = 1000;
/** Estimate used while no endpoint is available and requests are already queued. */
const unknownWaitMs = 500;
/** Minimum retry delay suggested to clients of rejected requests. */
export const minRetryAfterMs = 250;
/** Maximum time reserved for the response before a request's deadline. */
const maxResponseReserveMs = 50;

/**
 * Returns the expected wait of a request with `requestsAhead` requests of its class before it: the
 * longer of the waits for slots and for the rate limit.
 */
const queueWaitMs = (
  state: ServiceLeader,
  className: ServiceClassName,
  requestsAhead: number,
  capacity: number,
): number => {
  const share = Math.max(state.classes.get(className)?.share ?? 0, 1 / Math.max(1, capacity));
  const slotWaitMs = (requestsAhead / Math.max(1, capacity * share)) * state.latencyEwmaMs;
  const rate = state.serviceConfiguration.perSecond;
  if (rate === undefined) return slotWaitMs;
  let shares = classShare(state, className);
  for (const name of state.queues.keys()) if (name !== className) shares += classShare(state, name);
  return Math.max(
    slotWaitMs,
    (requestsAhead / ((rate * classShare(state, className)) / shares)) * 1000,
  );
};

/** Returns the expected wait, in milliseconds, of a request of a class that arrives now. */
export const estimatedWaitMs = (
  state: ServiceLeader,
  className: ServiceClassName,
  now: Timestamp,
): number => {
  const requestsAhead = state.queues.get(className)?.length ?? 0;
  const capacity = totalCapacity(state, now);
  if (capacity === 0) return requestsAhead === 0 ? 0 : unknownWaitMs;
  return queueWaitMs(state, className, requestsAhead, capacity);
};

/** Whether no endpoint has been usable for longer than the grace period. */
export const isWithoutEndpoints = (state: ServiceLeader, now: Timestamp): boolean =>
  state.noEndpointSince !== undefined && now - state.noEndpointSince > noEndpointGraceMs;

/** Returns the endpoints that may receive requests, now or once they are healthy again. */
const usableEndpoints = (state: ServiceLeader): readonly Endpoint[] =>
  [...state.endpoints.values()].filter(
    (endpoint) => endpoint.isLive && mayReceiveTraffic(state, endpoint.release),
  );

/** Records since when no endpoint has been usable; clears the record when one is. */
export const recordEndpointAvailability = (state: ServiceLeader, now: Timestamp): ServiceLeader => {
  if (usableEndpoints(state).length === 0)
    return state.noEndpointSince === undefined ? { ...state, noEndpointSince: now } : state;
  return state.noEndpointSince === undefined ? state : { ...state, noEndpointSince: undefined };
};

/**
 * Returns the earliest time at which a usable endpoint may be available; undefined if there is
 * none.
 */
const nextAvailableAt = (state: ServiceLeader, now: Timestamp): number | undefined => {
  const times = usableEndpoints(state).map((endpoint) =>
    endpoint.health.healthCheck === 'bad'
      ? now + state.serviceConfiguration.probe.everyMs
      : Math.max(now, endpoint.health.ejectedUntil),
  );
  return times.length === 0 ? undefined : Math.min(...times);
};

/** Conditions that decide whether queued requests can be served in time. */
interface QueueConditions {
  readonly capacity: number;
  readonly availableAt: number | undefined;
  readonly now: Timestamp;
}

/** Whether a queued request can no longer be served before its deadline. */
const cannotMeetDeadline = (
  state: ServiceLeader,
  request: PendingRequest,
  position: number,
  { capacity, availableAt, now }: QueueConditions,
): boolean => {
  if (now >= request.deadline - Math.min(state.latencyEwmaMs, maxResponseReserveMs)) return true;
  if (availableAt === undefined) return isWithoutEndpoints(state, now);
  const waitMs = capacity === 0 ? 0 : queueWaitMs(state, request.className, position, capacity);
  // Only half of the estimate counts, since the queue may move faster than estimated.
  return Math.max(now, availableAt) + waitMs / 2 > request.deadline;
};

const rejectUnserved = (
  state: ServiceLeader,
  request: PendingRequest,
  now: Timestamp,
): ServiceLeaderEffect =>
  request.mayHaveRun
    ? rejectRequest(request.id, {
        errorKind: 'lost',
        text: 'no further leg in time',
        retryAfterMs: 0,
      })
    : rejectRequest(request.id, {
        errorKind: 'rejected',
        text: 'no slot in time',
        retryAfterMs: Math.max(minRetryAfterMs, estimatedWaitMs(state, request.className, now)),
      });

/** Rejects the queued requests that can no longer be served before their deadlines. */
export const rejectUnservable = (state: ServiceLeader, now: Timestamp): LeaderTransition => {
  let queues = state.queues;
  const effects: ServiceLeaderEffect[] = [];
  const conditions: QueueConditions = {
    capacity: totalCapacity(state, now),
    availableAt: nextAvailableAt(state, now),
    now,
  };
  for (const [className, queue] of state.queues) {
    const unservable = queue.filter((request, position) =>
      cannotMeetDeadline(state, request, position, conditions),
    );
    if (unservable.length === 0) continue;
    const remaining = queue.filter((request) => !unservable.includes(request));
    queues = withQueue(queues, className, remaining);
    effects.push(...unservable.map((request) => rejectUnserved(state, request, now)));
  }
  return transition(queues === state.queues ? state : { ...state, queues }, ...effects);
};
