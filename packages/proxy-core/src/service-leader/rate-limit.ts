/**
 * Rate limit of a service: a token bucket shared by requests and health checks. A service without a
 * configured rate has no limit.
 */

import type { Timestamp } from '@switchwheel/types';
import type { ServiceLeader } from './state.js';

/** Capacity of the bucket, in seconds at the configured rate. */
const burstSeconds = 0.3;

/** Adds the tokens for the time since the last refill. */
export const refillTokens = (state: ServiceLeader, now: Timestamp): ServiceLeader => {
  const rate = state.serviceConfiguration.perSecond;
  if (rate === undefined) return state;
  const bucketSize = Math.max(1, rate * burstSeconds);
  return {
    ...state,
    tokens: Math.min(bucketSize, state.tokens + (rate * (now - state.refilledAt)) / 1000),
    refilledAt: now,
  };
};

/** Whether the rate limit allows one more request or health check. */
export const hasToken = (state: ServiceLeader): boolean =>
  state.serviceConfiguration.perSecond === undefined || state.tokens >= 1;

/** Returns the tokens left after one more request or health check. */
export const tokensAfterSend = (state: ServiceLeader): number =>
  state.serviceConfiguration.perSecond === undefined ? state.tokens : state.tokens - 1;
