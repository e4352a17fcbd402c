/**
 * The endpoints of one service (the instances of its origin): which there are, how many attempts
 * each may have, and which one is picked. Their health is judged in `outlier-ejection`.
 */

import type { InstanceId, Timestamp } from '@switchwheel/types';
import { type OriginTable, isLiveOrigin } from '@switchwheel/membership';
import { isAvailable, newEndpointHealth } from './outlier-ejection.js';
import type { Endpoint, ServiceLeader } from './state.js';

/** How long a new leader starts slowly: attempts of the leader before it may still be running. */
const slowStartMs = 1000;
/** How far above the lightest load an endpoint may be and still take its turn. */
const loadTolerance = 1.5;
/** The response time that doubles the load which an endpoint counts as having. */
const loadLatencyScaleMs = 50;

/** Takes over the origins of the service as they are known now; one with attempts stays until they end. */
export const updateEndpoints = (
  state: ServiceLeader,
  origins: OriginTable,
  now: Timestamp,
): ServiceLeader => {
  const endpoints = new Map<InstanceId, Endpoint>();
  for (const origin of origins.values()) {
    if (origin.service !== state.service) continue;
    const known = state.endpoints.get(origin.instance);
    const isLive = isLiveOrigin(origin, now);
    if (!isLive && known === undefined) continue;
    endpoints.set(origin.instance, {
      instance: origin.instance,
      address: origin.address,
      release: origin.release,
      slots: origin.slots,
      activeAttempts: known?.activeAttempts ?? 0,
      lastAttemptId: known?.lastAttemptId ?? 0,
      lastCheckedAt: known?.lastCheckedAt,
      isLive,
      health: known?.health ?? newEndpointHealth(now),
    });
  }
  for (const [id, endpoint] of state.endpoints)
    if (!endpoints.has(id) && endpoint.activeAttempts > 0)
      endpoints.set(id, { ...endpoint, isLive: false });
  return { ...state, endpoints };
};

/** How many attempts an endpoint may have at a time: half its slots during the slow start. */
const endpointCapacity = (state: ServiceLeader, endpoint: Endpoint, now: Timestamp): number =>
  now - state.startedAt < slowStartMs ? Math.max(1, Math.ceil(endpoint.slots / 2)) : endpoint.slots;

/** How many attempts the available endpoints may have together at a time. */
export const totalCapacity = (state: ServiceLeader, now: Timestamp): number => {
  let sum = 0;
  for (const endpoint of state.endpoints.values())
    if (isAvailable(endpoint, now)) sum += endpointCapacity(state, endpoint, now);
  return sum;
};

/** Picks among the available endpoints that a predicate allows: those with about the least load take turns. */
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
  const least = Math.min(...candidates.map(({ load }) => load));
  return candidates
    .filter(({ load }) => load <= least * loadTolerance)
    .sort((left, right) => left.endpoint.lastAttemptId - right.endpoint.lastAttemptId)[0]?.endpoint;
};
