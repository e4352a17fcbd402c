import type { Timestamp } from '@switchwheel/types';
import type { Keeper } from './state.js';

/** How far a burst may go beyond an even flow under the ceiling, in seconds of it. */
const burstSpan = 0.3;

/** Lets time pass over the ceiling. */
export const fill = (state: Keeper, now: Timestamp): Keeper => {
  const rate = state.rules.perSecond;
  if (rate === undefined) return state;
  const most = Math.max(1, rate * burstSpan);
  return {
    ...state,
    tokens: Math.min(most, state.tokens + (rate * (now - state.filled)) / 1000),
    filled: now,
  };
};

/** Whether the ceiling leaves room for one more send. */
export const affords = (state: Keeper): boolean =>
  state.rules.perSecond === undefined || state.tokens >= 1;

/** What is left of the ceiling after one more send. */
export const tokensAfter = (state: Keeper): number =>
  state.rules.perSecond === undefined ? state.tokens : state.tokens - 1;
