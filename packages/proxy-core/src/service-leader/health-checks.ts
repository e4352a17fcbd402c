import { type Timestamp, withEntry } from '@switchwheel/types';
import { hasToken, tokensAfterSend } from './rate-limit.js';
import type { ServiceLeader, ServiceLeaderEffect } from './state.js';

/** The most of a ceiling that health checks may take, as they count among what a service is sent. */
const healthCheckShare = 0.25;

/** How often each origin is checked: less often where the ceiling leaves little room. */
const checkIntervalMs = (state: ServiceLeader): number => {
  const rate = state.serviceConfiguration.perSecond;
  const { everyMs } = state.serviceConfiguration.probe;
  return rate === undefined
    ? everyMs
    : Math.max(everyMs, (state.endpoints.size / (rate * healthCheckShare)) * 1000);
};

/** Sends the health checks that are due. */
export const startDueHealthChecks = (
  before: ServiceLeader,
  now: Timestamp,
): { readonly state: ServiceLeader; readonly effects: readonly ServiceLeaderEffect[] } => {
  const every = checkIntervalMs(before);
  const effects: ServiceLeaderEffect[] = [];
  let state = before;
  for (const bay of before.endpoints.values()) {
    if (!bay.isLive || !hasToken(state) || now - (bay.lastCheckedAt ?? -Infinity) < every) continue;
    effects.push({
      kind: 'checkHealth',
      service: state.service,
      instance: bay.instance,
      address: bay.address,
      path: state.serviceConfiguration.probe.path,
    });
    state = {
      ...state,
      tokens: tokensAfterSend(state),
      endpoints: withEntry(state.endpoints, bay.instance, { ...bay, lastCheckedAt: now }),
    };
  }
  return { state, effects };
};
