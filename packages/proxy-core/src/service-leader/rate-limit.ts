import type { Timestamp } from '@switchwheel/types';
import type { ServiceLeader } from './state.js';

/** How far a burst may go beyond an even flow under the ceiling, in seconds of it. */
const burstSeconds = 0.3;

/** Lets time pass over the ceiling. */
export const refillTokens = (state: ServiceLeader, now: Timestamp): ServiceLeader => {
  const rate = state.serviceConfiguration.perSecond;
  if (rate === undefined) return state;
  const most = Math.max(1, rate * burstSeconds);
  return {
    ...state,
    tokens: Math.min(most, state.tokens + (rate * (now - state.refilledAt)) / 1000),
    refilledAt: now,
  };
};

/** Whether the ceiling leaves room for one more send. */
export const hasToken = (state: ServiceLeader): boolean =>
  state.serviceConfiguration.perSecond === undefined || state.tokens >= 1;

/** What is left of the ceiling after one more send. */
export const tokensAfterSend = (state: ServiceLeader): number =>
  state.serviceConfiguration.perSecond === undefined ? state.tokens : state.tokens - 1;
