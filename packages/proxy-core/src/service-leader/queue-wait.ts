/**
 * How long queued requests wait: the estimate by which a request is turned away on arrival, and the
 * check by which one that can no longer be served in time is turned away before its deadline.
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

/** How long requests wait for any endpoint to become usable before they are turned away. */
const noEndpointGraceMs = 1000;
/** The estimate while no endpoint is available but requests wait already. */
const unknownWaitMs = 500;
/** The least that a client which was turned away is asked to wait. */
export const minRetryAfterMs = 250;
/** The most of a typical response time that is kept free before a deadline. */
const maxResponseReserveMs = 50;

/** How long a request waits with so many of its class ahead: for slots, and for the rate limit. */
const queueWaitMs = (
  state: ServiceLeader,
  className: ServiceClassName,
  ahead: number,
  capacity: number,
): number => {
  const share = Math.max(state.classes.get(className)?.share ?? 0, 1 / Math.max(1, capacity));
  const slotWaitMs = (ahead / Math.max(1, capacity * share)) * state.latencyEwmaMs;
  const rate = state.serviceConfiguration.perSecond;
  if (rate === undefined) return slotWaitMs;
  let shares = classShare(state, className);
  for (const name of state.queues.keys()) if (name !== className) shares += classShare(state, name);
  return Math.max(slotWaitMs, (ahead / ((rate * classShare(state, className)) / shares)) * 1000);
};

/** How long a request of a class that arrives now would wait, in milliseconds. */
export const estimatedWaitMs = (
  state: ServiceLeader,
  className: ServiceClassName,
  now: Timestamp,
): number => {
  const ahead = state.queues.get(className)?.length ?? 0;
  const capacity = totalCapacity(state, now);
  if (capacity === 0) return ahead === 0 ? 0 : unknownWaitMs;
  return queueWaitMs(state, className, ahead, capacity);
};

/** Whether no endpoint has been usable for so long that waiting for one is pointless. */
export const isWithoutEndpoints = (state: ServiceLeader, now: Timestamp): boolean =>
  state.noEndpointSince !== undefined && now - state.noEndpointSince > noEndpointGraceMs;

/** The endpoints that may take a request at all, now or once they are healthy again. */
const usableEndpoints = (state: ServiceLeader): readonly Endpoint[] =>
  [...state.endpoints.values()].filter(
    (endpoint) => endpoint.isLive && mayReceiveTraffic(state, endpoint.release),
  );

/** Records since when no endpoint has been usable, if none is. */
export const recordEndpointAvailability = (state: ServiceLeader, now: Timestamp): ServiceLeader => {
  if (usableEndpoints(state).length === 0)
    return state.noEndpointSince === undefined ? { ...state, noEndpointSince: now } : state;
  return state.noEndpointSince === undefined ? state : { ...state, noEndpointSince: undefined };
};

/** When the first usable endpoint may be available again; undefined if there is none. */
const nextAvailableAt = (state: ServiceLeader, now: Timestamp): number | undefined => {
  const times = usableEndpoints(state).map((endpoint) =>
    endpoint.health.healthCheck === 'bad'
      ? now + state.serviceConfiguration.probe.everyMs
      : Math.max(now, endpoint.health.ejectedUntil),
  );
  return times.length === 0 ? undefined : Math.min(...times);
};

/** What the chance of a queued request to be served hangs on. */
interface QueueConditions {
  readonly capacity: number;
  readonly availableAt: number | undefined;
  readonly now: Timestamp;
}

/** Whether a queued request can't be served in its time any more. */
const cannotMeetDeadline = (
  state: ServiceLeader,
  request: PendingRequest,
  position: number,
  { capacity, availableAt, now }: QueueConditions,
): boolean => {
  if (now >= request.deadline - Math.min(state.latencyEwmaMs, maxResponseReserveMs)) return true;
  if (availableAt === undefined) return isWithoutEndpoints(state, now);
  const waitMs = capacity === 0 ? 0 : queueWaitMs(state, request.className, position, capacity);
  // Half the estimate: what moves faster than estimated is still served.
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

/** Turns away the queued requests that can't be served in their time any more. */
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
