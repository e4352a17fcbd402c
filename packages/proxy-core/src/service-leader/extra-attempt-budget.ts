/**
 * The budget of extra attempts (retries and hedges) of one service: a share of its requests and a
 * base, over a sliding window. It bounds how far retries can multiply the load on origins.
 */

import type { Timestamp } from '@switchwheel/types';
import { windowSum } from './sliding-window.js';
import type { ServiceLeader } from './state.js';

/**
 * Extra attempts allowed for each request of the window. The rule (R8) allows 0.2 and a base of 60;
 * what is used stays below it, for what an earlier leader may have spent in the same window.
 */
const extraAttemptShare = 0.15;
const extraAttemptBase = 35;
/** The base of a new leader; halved for each leader that came before it within the window. */
const newLeaderExtraBase = 12;
const extraAttemptWindowMs = 10_000;

/** Whether one more attempt may start beyond the first one of each request. */
export const hasExtraAttemptBudget = (state: ServiceLeader, now: Timestamp): boolean => {
  const base =
    now - state.startedAt < extraAttemptWindowMs
      ? Math.floor(newLeaderExtraBase / 2 ** (state.recentLeaderCount - 1))
      : extraAttemptBase;
  return (
    windowSum(state.recentExtraAttempts, now) + 1 <=
    base + extraAttemptShare * windowSum(state.recentRequests, now)
  );
};
