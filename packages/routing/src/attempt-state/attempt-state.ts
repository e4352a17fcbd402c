/**
 * Pure state machine of one client request at an edge: decides on attempts, retries, hedges and the outcome for the
 * client. The edge router executes the effects and reports their results as events. A non-idempotent request is sent to
 * a second origin only if it is certain that no origin has run it.
 */

import {
  type ErrorKind,
  type InstanceId,
  type Timestamp,
  type Transition,
  transition,
  withEntry,
  withoutEntry,
} from '@switchwheel/types';
import type { HeaderFields } from '@switchwheel/transport';

/** Complete response of an origin; field names are in lower case. */
export interface OriginResponse {
  readonly status: number;
  readonly fields: HeaderFields;
  readonly body: Buffer;
  /** Whether the origin stated that it did not run the request. */
  readonly isUnprocessed: boolean;
}

/** Final outcome of a request: an origin's response, or the reason why there is none. */
export type RequestOutcome =
  | {
      readonly kind: 'response';
      readonly response: OriginResponse;
      readonly instance: InstanceId;
      readonly attempt: number;
    }
  | {
      readonly kind: 'failure';
      readonly errorKind: ErrorKind;
      readonly text: string;
      /** Delay in milliseconds after which the client may retry; 0 for no advice. */
      readonly retryAfterMs: number;
    };

/** State of a request from its arrival to its outcome. Attempts are numbered from 1. */
export interface RequestState {
  readonly isIdempotent: boolean;
  /** Maximum number of attempts that may reach an origin. */
  readonly maxAttempts: number;
  readonly deadline: Timestamp;
  readonly phase: 'picking' | 'waiting' | 'finished';
  /** Instances of the attempts in flight, by attempt number. */
  readonly inFlight: ReadonlyMap<number, InstanceId>;
  readonly nextAttempt: number;
  /** Number of attempts sent, without those whose connection never opened. */
  readonly sentCount: number;
  /** Number of attempts whose connection never opened. */
  readonly unopenedCount: number;
  /** Whether an origin may have run the request. */
  readonly mayHaveRun: boolean;
  readonly triedInstances: ReadonlySet<InstanceId>;
  /** An origin's 5xx response, used as the outcome if no attempt gets a better one. */
  readonly fallback: Extract<RequestOutcome, { kind: 'response' }> | undefined;
}

/** Event that a request receives. */
export type RequestEvent =
  | { readonly kind: 'started'; readonly now: Timestamp }
  | { readonly kind: 'endpointPicked'; readonly now: Timestamp; readonly instance: InstanceId }
  | {
      readonly kind: 'noEndpointAvailable';
      readonly now: Timestamp;
      readonly text: string;
      readonly retryAfterMs: number;
    }
  | {
      readonly kind: 'responseReceived';
      readonly now: Timestamp;
      readonly attempt: number;
      readonly response: OriginResponse;
    }
  /** An attempt failed without a complete response. */
  | {
      readonly kind: 'attemptFailed';
      readonly now: Timestamp;
      readonly attempt: number;
      /** Whether the request may have reached the origin. */
      readonly mayHaveReachedOrigin: boolean;
      readonly text: string;
    }
  /** No response within the hedge delay. */
  | { readonly kind: 'hedgeDelayElapsed'; readonly now: Timestamp }
  | { readonly kind: 'deadlineExpired'; readonly now: Timestamp }
  | { readonly kind: 'clientDisconnected'; readonly now: Timestamp };

/** Effect that the edge router executes for a request. */
export type RequestEffect =
  /** Selects an endpoint; an extra attempt (retry or hedge) is charged to the budget. */
  | { readonly kind: 'pickEndpoint'; readonly isExtra: boolean }
  | { readonly kind: 'sendAttempt'; readonly attempt: number; readonly instance: InstanceId }
  | { readonly kind: 'cancelAttempt'; readonly attempt: number }
  | { readonly kind: 'finishRequest'; readonly outcome: RequestOutcome };

type RequestTransition = Transition<RequestState, RequestEffect>;

const maxUnopenedAttempts = 3;
const unprocessedRetryMs = 200;
const failedRetryMs = 200;
const expiredRetryMs = 200;
/** Statuses from which a client may conclude that the request was not run. */
const unprocessedStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Returns the state of a request before its first attempt. */
export const newRequestState = (
  isIdempotent: boolean,
  maxAttempts: number,
  deadline: Timestamp,
): RequestState => ({
  isIdempotent,
  maxAttempts,
  deadline,
  phase: 'picking',
  inFlight: new Map(),
  nextAttempt: 1,
  sentCount: 0,
  unopenedCount: 0,
  mayHaveRun: false,
  triedInstances: new Set(),
  fallback: undefined,
});

const failureOutcome = (
  errorKind: ErrorKind,
  text: string,
  retryAfterMs: number,
): RequestOutcome => ({ kind: 'failure', errorKind, text, retryAfterMs });

const finish = (request: RequestState, outcome: RequestOutcome | undefined): RequestTransition =>
  transition<RequestState, RequestEffect>(
    { ...request, phase: 'finished', inFlight: new Map() },
    ...[...request.inFlight.keys()].map((attempt) => ({
      kind: 'cancelAttempt' as const,
      attempt,
    })),
    ...(outcome === undefined ? [] : [{ kind: 'finishRequest' as const, outcome }]),
  );

/** Returns the outcome when no further response is expected: the fallback if there is one, otherwise a failure. */
const finalOutcome = (
  request: RequestState,
  text: string,
  retryAfterMs: number,
): RequestOutcome => {
  if (request.fallback !== undefined) return request.fallback;
  if (request.mayHaveRun && !request.isIdempotent) return failureOutcome('lost', text, 0);
  return request.mayHaveRun
    ? failureOutcome('lost', text, retryAfterMs)
    : failureOutcome('rejected', text, retryAfterMs);
};

/** Waits for the attempts in flight, or finishes the request if there are none. */
const waitOrFinish = (
  request: RequestState,
  text: string,
  retryAfterMs: number,
): RequestTransition =>
  request.inFlight.size > 0
    ? transition<RequestState, RequestEffect>({ ...request, phase: 'waiting' })
    : finish(request, finalOutcome(request, text, retryAfterMs));

/** Continues after an unsuccessful attempt: retries, waits for other attempts in flight, or finishes the request. */
const retryOrFinish = (
  request: RequestState,
  text: string,
  retryAfterMs: number,
): RequestTransition => {
  const mayRetry = request.isIdempotent || !request.mayHaveRun;
  const hasAttemptsLeft =
    request.sentCount < request.maxAttempts && request.unopenedCount <= maxUnopenedAttempts;
  if (mayRetry && hasAttemptsLeft)
    return transition<RequestState, RequestEffect>(
      { ...request, phase: 'picking' },
      { kind: 'pickEndpoint', isExtra: request.sentCount > 0 },
    );
  return waitOrFinish(request, text, retryAfterMs);
};

const onEndpointPicked = (request: RequestState, instance: InstanceId): RequestTransition => {
  if (request.phase !== 'picking') return transition(request);
  const attempt = request.nextAttempt;
  return transition<RequestState, RequestEffect>(
    {
      ...request,
      phase: 'waiting',
      inFlight: withEntry(request.inFlight, attempt, instance),
      nextAttempt: attempt + 1,
      sentCount: request.sentCount + 1,
      triedInstances: new Set([...request.triedInstances, instance]),
    },
    { kind: 'sendAttempt', attempt, instance },
  );
};

const onResponse = (
  request: RequestState,
  attempt: number,
  response: OriginResponse,
): RequestTransition => {
  const instance = request.inFlight.get(attempt);
  if (instance === undefined) return transition(request);
  const remaining: RequestState = { ...request, inFlight: withoutEntry(request.inFlight, attempt) };
  if (response.isUnprocessed)
    return retryOrFinish(remaining, 'origins turn requests away', unprocessedRetryMs);
  const processed: RequestState = { ...remaining, mayHaveRun: true };
  // The client would conclude from the status that the request was not run, which the origin did not state.
  const isMisleading = !request.isIdempotent && unprocessedStatuses.has(response.status);
  if (response.status < 500)
    return finish(
      processed,
      isMisleading
        ? failureOutcome('lost', 'the origin left open whether it ran', 0)
        : { kind: 'response', response, instance, attempt },
    );
  const fallback = isMisleading
    ? processed.fallback
    : { kind: 'response' as const, response, instance, attempt };
  return retryOrFinish({ ...processed, fallback }, 'the origin failed', 0);
};

const onAttemptFailed = (
  request: RequestState,
  attempt: number,
  mayHaveReachedOrigin: boolean,
  text: string,
): RequestTransition => {
  if (!request.inFlight.has(attempt)) return transition(request);
  const remaining: RequestState = { ...request, inFlight: withoutEntry(request.inFlight, attempt) };
  if (mayHaveReachedOrigin)
    return retryOrFinish({ ...remaining, mayHaveRun: true }, text, failedRetryMs);
  // An attempt whose connection never opened does not count, as it can't have run.
  const uncounted: RequestState = {
    ...remaining,
    sentCount: remaining.sentCount - 1,
    unopenedCount: remaining.unopenedCount + 1,
  };
  return retryOrFinish(uncounted, text, failedRetryMs);
};

/** Sends a hedge, only for idempotent requests with a single attempt in flight. */
const onHedgeDelayElapsed = (request: RequestState): RequestTransition => {
  const mayHedge =
    request.phase === 'waiting' &&
    request.isIdempotent &&
    request.inFlight.size === 1 &&
    request.sentCount < request.maxAttempts;
  if (!mayHedge) return transition(request);
  return transition<RequestState, RequestEffect>(
    { ...request, phase: 'picking' },
    { kind: 'pickEndpoint', isExtra: true },
  );
};

const onDeadlineExpired = (request: RequestState): RequestTransition => {
  if (request.fallback !== undefined) return finish(request, request.fallback);
  // An attempt in flight may still be run by its origin.
  const mayRun = request.mayHaveRun || request.inFlight.size > 0;
  return finish(
    request,
    mayRun
      ? failureOutcome('slow', 'no origin answered in time', 0)
      : failureOutcome('rejected', 'no origin in time', expiredRetryMs),
  );
};

/** Returns the next state and effects of a request; a finished request ignores all events. */
export const requestTransition = (
  request: RequestState,
  event: RequestEvent,
): RequestTransition => {
  if (request.phase === 'finished') return transition(request);
  switch (event.kind) {
    case 'started':
      return transition<RequestState, RequestEffect>(request, {
        kind: 'pickEndpoint',
        isExtra: false,
      });
    case 'endpointPicked':
      return onEndpointPicked(request, event.instance);
    case 'noEndpointAvailable':
      return request.phase === 'picking'
        ? waitOrFinish(request, event.text, event.retryAfterMs)
        : transition(request);
    case 'responseReceived':
      return onResponse(request, event.attempt, event.response);
    case 'attemptFailed':
      return onAttemptFailed(request, event.attempt, event.mayHaveReachedOrigin, event.text);
    case 'hedgeDelayElapsed':
      return onHedgeDelayElapsed(request);
    case 'deadlineExpired':
      return onDeadlineExpired(request);
    case 'clientDisconnected':
      return finish(request, undefined);
  }
};
