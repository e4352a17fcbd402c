/**
 * Requests that wait for a token of their service's rate limit or for a free connection, first come, first served. The
 * wait is bounded: a request is only queued if it is expected to be sent in time, and is rejected at once otherwise.
 */

import { type ServiceName, type Timestamp, addMs, elapsedMs } from '@switchwheel/types';
import type { ActiveRequest } from './active-request.js';

/** Maximum fraction of a route's latency target that a request may wait. */
const maxWaitFraction = 0.5;
/** Part of the latency target that is left for the origin, as a multiple of its service's typical latency. */
const latencyFactor = 2;
/** Latency target of routes that set none. */
const defaultLatencyTargetMs = 400;

interface PendingRequest {
  readonly active: ActiveRequest;
  readonly expiresAt: Timestamp;
}

/** Queues of all services of one edge. */
export class PendingRequests {
  readonly #queues = new Map<ServiceName, PendingRequest[]>();

  /** Services with waiting requests. */
  get services(): readonly ServiceName[] {
    return [...this.#queues.keys()];
  }

  /** Number of requests that wait for a service. */
  count(service: ServiceName): number {
    return this.#queues.get(service)?.length ?? 0;
  }

  /** Appends a request to the queue of its service; it waits for `waitLimitMs` at most. */
  add(active: ActiveRequest, waitLimitMs: number, now: Timestamp): void {
    const queue = this.#queues.get(active.service) ?? [];
    queue.push({ active, expiresAt: addMs(now, waitLimitMs) });
    this.#queues.set(active.service, queue);
  }

  /** Returns the first request of a service that is still in progress; those that have ended are removed. */
  first(service: ServiceName): PendingRequest | undefined {
    const queue = this.#queues.get(service) ?? [];
    while (queue[0]?.active.state.phase === 'finished') queue.shift();
    if (queue.length === 0) this.#queues.delete(service);
    return queue[0];
  }

  /** Removes the first request of a service. */
  removeFirst(service: ServiceName): void {
    this.#queues.get(service)?.shift();
  }
}

/** Maximum time that a request may wait before its first attempt, so that its response comes within the latency target. */
export const maxWaitMs = (
  { route, state }: ActiveRequest,
  typicalLatencyMs: number,
  now: Timestamp,
): number => {
  const targetMs = route.latencyTargetMs ?? defaultLatencyTargetMs;
  const availableMs = Math.min(targetMs, elapsedMs(now, state.deadline));
  const latencyMs = latencyFactor * typicalLatencyMs;
  return Math.min(maxWaitFraction * availableMs, Math.max(0, availableMs - latencyMs));
};
