/**
 * Endpoints of one service (the instances of its origin): membership, capacity and load balancing.
 * Their health is tracked in `outlier-ejection`.
 */

import type { InstanceId, Timestamp } from '@switchwheel/types';
import { type OriginTable, isLiveOrigin } from '@switchwheel/membership';
import { isAvailable, newEndpointHealth } from './outlier-ejection.js';
import type { Endpoint, ServiceLeader } from './state.js';

/**
 * Duration of the slow start of a new leader, during which attempts of the previous leader may
 * still be running.
 */
const slowStartMs = 1000;
/** Endpoints with up to this multiple of the lowest load are picked in turn. */
const loadTolerance = 1.5;
/** Response time that doubles the weighted load of an endpoint. */
const loadLatencyScaleMs = 50;

/**
 * Updates the endpoints from the known origins. An endpoint that is gone stays, not live, until its
 * attempts have ended.
 */
export const updateEndpoints = (
  state: ServiceLeader,
  origins: OriginTable,
  now: Timestamp,
): ServiceLeader => {
  const endpoints = new Map<InstanceId, Endpoint>();
  for (const origin of origins.values()) {
    if (origin.service !== state.service) continue;
    const existing = state.endpoints.get(origin.instance);
    const isLive = isLiveOrigin(origin, now);
    if (!isLive && existing === undefined) continue;
    endpoints.set(origin.instance, {
      instance: origin.instance,
      address: origin.address,
      release: origin.release,
      slots: origin.slots,
      activeAttempts: existing?.activeAttempts ?? 0,
      lastAttemptId: existing?.lastAttemptId ?? 0,
      lastCheckedAt: existing?.lastCheckedAt,
      isLive,
      health: existing?.health ?? newEndpointHealth(now),
    });
  }
  for (const [id, endpoint] of state.endpoints)
    if (!endpoints.has(id) && endpoint.activeAttempts > 0)
      endpoints.set(id, { ...endpoint, isLive: false });
  return { ...state, endpoints };
};

/**
 * Returns the maximum number of concurrent attempts at an endpoint: half its slots during the slow
 * start.
 */
const endpointCapacity = (state: ServiceLeader, endpoint: Endpoint, now: Timestamp): number =>
  now - state.startedAt < slowStartMs ? Math.max(1, Math.ceil(endpoint.slots / 2)) : endpoint.slots;

/** Returns the maximum number of concurrent attempts at all available endpoints together. */
export const totalCapacity = (state: ServiceLeader, now: Timestamp): number => {
  let sum = 0;
  for (const endpoint of state.endpoints.values())
    if (isAvailable(endpoint, now)) sum += endpointCapacity(state, endpoint, now);
  return sum;
};

/**
 * Picks an available endpoint that `isAllowed` accepts and that has free capacity: of those with
 * about the lowest load, the least recently used one.
 */
export const pickEndpoint = (
  state: ServiceLeader,
  isAllowed: (endpoint: Endpoint) => boolean,
  now: Timestamp,
): Endpoint | undefined => {
  const candidates: { readonly endpoint: Endpoint; readonly load: number }[] = [];
  for (const endpoint of state.endpoints.values()) {
    const capacity = endpointCapacity(state, endpoint, now);
    if (!isAvailable(endpoint, now) || endpoint.activeAttempts >= capacity || !isAllowed(endpoint))
      continue;
    const utilization = (endpoint.activeAttempts + 1) / capacity;
    candidates.push({
      endpoint,
      load: utilization * (1 + endpoint.health.latencyEwmaMs / loadLatencyScaleMs),
    });
  }
  const lowestLoad = Math.min(...candidates.map(({ load }) => load));
  return candidates
    .filter(({ load }) => load <= lowestLoad * loadTolerance)
    .sort((left, right) => left.endpoint.lastAttemptId - right.endpoint.lastAttemptId)[0]?.endpoint;
};
