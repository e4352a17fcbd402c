/**
 * Hedged requests: a second attempt of an idempotent request whose first attempt is much slower
 * than usual for the service.
 */

import { type Timestamp, prependEffects, transition } from '@switchwheel/types';
import { canSend, mayAdmit } from './admission.js';
import { startAttempt } from './attempts.js';
import { mayReceiveTraffic } from './canary.js';
import { pickEndpoint } from './endpoints.js';
import { hasExtraAttemptBudget } from './extra-attempt-budget.js';
import type { Attempt, LeaderTransition, ServiceLeader } from './state.js';

/** Hedge delay in multiples of the average response time, if no delay is configured. */
const hedgeLatencyFactor = 4;
const minHedgeDelayMs = 50;

const hedgeDelayMs = (state: ServiceLeader): number =>
  state.serviceConfiguration.hedgeMs ??
  Math.max(minHedgeDelayMs, state.latencyEwmaMs * hedgeLatencyFactor);

/**
 * Starts a second attempt of a request, if its idempotency, the budget and the free slots allow it.
 */
const hedge = (state: ServiceLeader, attempt: Attempt, now: Timestamp): LeaderTransition => {
  const request = state.activeRequests.get(attempt.requestId);
  if (
    request === undefined ||
    !request.isIdempotent ||
    request.attemptCount >= 2 ||
    !canSend(state) ||
    !hasExtraAttemptBudget(state, now) ||
    !mayAdmit(state, request.className, now)
  )
    return transition(state);
  const endpoint = pickEndpoint(
    state,
    (candidate) =>
      !request.triedInstances.has(candidate.instance) &&
      mayReceiveTraffic(state, candidate.release),
    now,
  );
  return endpoint === undefined ? transition(state) : startAttempt(state, request, endpoint, now);
};

/** Starts hedges for all attempts that have been running for longer than the hedge delay. */
export const hedgeSlowAttempts = (before: ServiceLeader, now: Timestamp): LeaderTransition => {
  const delayMs = hedgeDelayMs(before);
  let next: LeaderTransition = transition(before);
  for (const attempt of before.attempts.values()) {
    if (now - attempt.startedAt < delayMs) continue;
    next = prependEffects(next.effects, hedge(next.state, attempt, now));
  }
  return next;
};
