/**
 * Scheduling of health checks of a service's endpoints. The program sends them; `outlier-ejection`
 * records their results.
 */

import { type Timestamp, transition, withEntry } from '@switchwheel/types';
import { hasToken, tokensAfterSend } from './rate-limit.js';
import type { LeaderTransition, ServiceLeader, ServiceLeaderEffect } from './state.js';

/** Maximum share of the rate limit for health checks, which count towards it. */
const healthCheckShare = 0.25;

/**
 * Returns the interval between health checks of an endpoint; longer than configured if the rate
 * limit is low.
 */
const checkIntervalMs = (state: ServiceLeader): number => {
  const rate = state.serviceConfiguration.perSecond;
  const { everyMs } = state.serviceConfiguration.probe;
  return rate === undefined
    ? everyMs
    : Math.max(everyMs, (state.endpoints.size / (rate * healthCheckShare)) * 1000);
};

/** Starts the health checks that are due, as far as the rate limit allows. */
export const startDueHealthChecks = (before: ServiceLeader, now: Timestamp): LeaderTransition => {
  const intervalMs = checkIntervalMs(before);
  const effects: ServiceLeaderEffect[] = [];
  let state = before;
  for (const endpoint of before.endpoints.values()) {
    const sinceLastMs = now - (endpoint.lastCheckedAt ?? -Infinity);
    if (!endpoint.isLive || !hasToken(state) || sinceLastMs < intervalMs) continue;
    effects.push({
      kind: 'checkHealth',
      service: state.service,
      instance: endpoint.instance,
      address: endpoint.address,
      path: state.serviceConfiguration.probe.path,
    });
    state = {
      ...state,
      tokens: tokensAfterSend(state),
      endpoints: withEntry(state.endpoints, endpoint.instance, { ...endpoint, lastCheckedAt: now }),
    };
  }
  return transition(state, ...effects);
};
