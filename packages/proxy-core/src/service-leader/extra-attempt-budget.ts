/**
 * Budget of extra attempts (retries and hedges) of one service: a fixed number plus a share of its
 * requests, over a sliding window. It limits how far retries can amplify the load on origins.
 */

import type { Timestamp } from '@switchwheel/types';
import { windowSum } from './sliding-window.js';
import type { ServiceLeader } from './state.js';

/**
 * Extra attempts allowed per request in the window. Share and base stay below what the rule (R8) allows
 * (0.2 and 60), because earlier leaders may have used a part of it in the same window.
 */
const extraAttemptShare = 0.15;
const extraAttemptBase = 35;
/** Base of a leader during its first window; halved for each other recent leader of the service. */
const newLeaderExtraBase = 12;
const extraAttemptWindowMs = 10_000;

/** Whether the budget allows one more retry or hedge. */
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
