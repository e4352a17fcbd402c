/**
 * Handling of finished attempts: the response is used, or the request is retried or rejected. After
 * an attempt that may have run a non-idempotent request, no other attempt is started.
 */

import {
  type RequestId,
  type Timestamp,
  prependEffects,
  toRequestId,
  transition,
  withEntry,
  withoutEntry,
} from '@switchwheel/types';
import { admitQueued } from './admission.js';
import { attemptsOf, maxAttempts, pickForRequest, removeAttempt } from './attempts.js';
import { recordCanaryOutcome } from './canary.js';
import { hasExtraAttemptBudget } from './extra-attempt-budget.js';
import { recordOutcome } from './outlier-ejection.js';
import { rejectRequest } from './reject-request.js';
import type {
  Attempt,
  AttemptOutcome,
  LeaderTransition,
  PendingRequest,
  ServiceLeader,
  ServiceLeaderEffect,
  ServiceLeaderEvent,
} from './state.js';

type AttemptEnded = Extract<ServiceLeaderEvent, { kind: 'attemptEnded' }>;

/** Weight of the newest sample in the moving average of the service's response time. */
const latencyWeight = 0.05;
/** Retry delay suggested to the client of a request that certainly did not run. */
const notRunRetryAfterMs = 500;
/** Id that no request has: looking it up finds no active request. */
const noRequest: RequestId = toRequestId('none');

const cancelAttempt = (attempt: Attempt): ServiceLeaderEffect => ({
  kind: 'cancelAttempt',
  attemptId: attempt.id,
});

/** Whether another attempt is safe: the request did not run, or it is idempotent. */
const mayRetry = (request: PendingRequest, outcome: AttemptOutcome): boolean =>
  outcome.kind === 'notRun' || outcome.kind === 'notSent' || request.isIdempotent;

const updateLatency = (
  state: ServiceLeader,
  { outcome, durationMs }: AttemptEnded,
): ServiceLeader =>
  outcome.kind === 'succeeded'
    ? {
        ...state,
        latencyEwmaMs: state.latencyEwmaMs * (1 - latencyWeight) + durationMs * latencyWeight,
      }
    : state;

/**
 * Records an ended attempt in the health of its endpoint, in the canary of its release and in the
 * service's latency.
 */
const recordAttempt = (
  before: ServiceLeader,
  attempt: Attempt,
  event: AttemptEnded,
): LeaderTransition => {
  const { now, outcome, durationMs } = event;
  const { instance, release } = attempt;
  const result = { instance, outcome, durationMs };
  const recorded = recordOutcome(removeAttempt(before, attempt), result, now);
  const canary = recordCanaryOutcome(recorded.state, release, outcome, now);
  const ejection: readonly ServiceLeaderEffect[] =
    recorded.ejectionReason === undefined
      ? []
      : [{ kind: 'reportEjection', instance, text: recorded.ejectionReason }];
  return transition(updateLatency(canary.state, event), ...canary.effects, ...ejection);
};

/** Whether a response is final: a success, or an origin error that can't be retried. */
const isResponseFinal = (
  state: ServiceLeader,
  request: PendingRequest,
  outcome: AttemptOutcome,
  now: Timestamp,
): boolean =>
  outcome.kind === 'succeeded' ||
  (outcome.kind === 'originError' &&
    (!request.isIdempotent ||
      request.attemptCount >= maxAttempts ||
      !hasExtraAttemptBudget(state, now) ||
      pickForRequest(state, request, now) === undefined));

const rejectionText = (outcome: AttemptOutcome): string => {
  if ('text' in outcome) return outcome.text;
  return outcome.kind === 'notRun' ? 'the origin refused it unrun' : 'no result in time';
};

/**
 * Rejects a request after its last attempt; only one that certainly did not run gets the error kind
 * `rejected`.
 */
const rejectAfterAttempt = (
  request: PendingRequest,
  outcome: AttemptOutcome,
): ServiceLeaderEffect => {
  const text = rejectionText(outcome);
  if (!request.mayHaveRun)
    return rejectRequest(request.id, {
      errorKind: 'rejected',
      text,
      retryAfterMs: notRunRetryAfterMs,
    });
  const errorKind = outcome.kind === 'timedOut' ? 'slow' : 'lost';
  return rejectRequest(request.id, { errorKind, text, retryAfterMs: 0 });
};

/**
 * Puts a request back at the head of its queue when its only running attempt failed, or rejects it.
 */
const retryOrReject = (
  before: ServiceLeader,
  request: PendingRequest,
  outcome: AttemptOutcome,
  now: Timestamp,
): LeaderTransition => {
  const { id, className } = request;
  const state = { ...before, activeRequests: withoutEntry(before.activeRequests, id) };
  if (before.isClosing && !request.mayHaveRun && mayRetry(request, outcome))
    return transition(
      state,
      rejectRequest(id, {
        errorKind: 'rejected',
        text: 'the keeper moved',
        retryAfterMs: 0,
        leaderMoved: true,
      }),
    );
  const isRetried =
    !before.isClosing &&
    mayRetry(request, outcome) &&
    now < request.deadline &&
    request.attemptCount < maxAttempts &&
    hasExtraAttemptBudget(before, now);
  if (!isRetried)
    return prependEffects([rejectAfterAttempt(request, outcome)], admitQueued(state, now));
  const queue = [request, ...(state.queues.get(className) ?? [])];
  return admitQueued({ ...state, queues: withEntry(state.queues, className, queue) }, now);
};

/** Decides what to do with a request after one of its attempts ended. */
const settleRequest = (
  state: ServiceLeader,
  attempt: Attempt,
  outcome: AttemptOutcome,
  now: Timestamp,
): LeaderTransition => {
  const request = state.activeRequests.get(attempt.requestId);
  if (request === undefined) return admitQueued(state, now);
  const otherAttempts = attemptsOf(state, request.id);
  const isFinal = isResponseFinal(state, request, outcome, now);
  if (isFinal && (outcome.kind === 'succeeded' || otherAttempts.length === 0)) {
    const used = { ...state, activeRequests: withoutEntry(state.activeRequests, request.id) };
    return prependEffects(
      [
        { kind: 'useResponse', attemptId: attempt.id, requestId: request.id },
        ...otherAttempts.map(cancelAttempt),
      ],
      admitQueued(used, now),
    );
  }
  const mayHaveRun =
    request.mayHaveRun || (outcome.kind !== 'notRun' && outcome.kind !== 'notSent');
  const updated = { ...request, mayHaveRun };
  if (otherAttempts.length === 0) return retryOrReject(state, updated, outcome, now);
  // Another attempt is still running and may succeed.
  const activeRequests = withEntry(state.activeRequests, request.id, updated);
  return admitQueued({ ...state, activeRequests }, now);
};

/**
 * Handles the end of an attempt: frees its slot, then completes, retries or rejects its request.
 */
export const onAttemptEnded = (before: ServiceLeader, event: AttemptEnded): LeaderTransition => {
  const attempt = before.attempts.get(event.attemptId);
  if (attempt === undefined) return transition(before);
  const recorded = recordAttempt(before, attempt, event);
  return prependEffects(
    recorded.effects,
    settleRequest(recorded.state, attempt, event.outcome, event.now),
  );
};

/**
 * Handles the start of a streamed response: cancels the request's other attempts and prevents
 * further ones.
 */
export const onStreamingStarted = (state: ServiceLeader, attemptId: number): LeaderTransition => {
  const requestId = state.attempts.get(attemptId)?.requestId ?? noRequest;
  const request = state.activeRequests.get(requestId);
  if (request === undefined) return transition(state);
  const cancellations = attemptsOf(state, requestId)
    .filter((attempt) => attempt.id !== attemptId)
    .map(cancelAttempt);
  return transition(
    {
      ...state,
      activeRequests: withEntry(state.activeRequests, requestId, {
        ...request,
        // Together these rule out any further retry or hedge, whatever the outcome of the streaming attempt.
        isIdempotent: false,
        attemptCount: maxAttempts,
      }),
    },
    ...cancellations,
  );
};

/**
 * Handles a client's cancellation: removes the request from its queue and cancels its attempts if
 * the request is idempotent.
 */
export const onRequestCancelled = (
  state: ServiceLeader,
  id: RequestId,
  now: Timestamp,
): LeaderTransition => {
  let queues = state.queues;
  for (const [className, queue] of state.queues) {
    if (queue.some((request) => request.id === id))
      queues = withEntry(
        queues,
        className,
        queue.filter((request) => request.id !== id),
      );
  }
  const request = state.activeRequests.get(id);
  // An attempt of a non-idempotent request may have run already: it is left to complete.
  const cancellations =
    request?.isIdempotent === true ? attemptsOf(state, id).map(cancelAttempt) : [];
  const activeRequests =
    request === undefined ? state.activeRequests : withoutEntry(state.activeRequests, id);
  return prependEffects(cancellations, admitQueued({ ...state, queues, activeRequests }, now));
};
