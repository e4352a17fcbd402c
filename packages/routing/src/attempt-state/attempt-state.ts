/**
 * The state machine of one client request at an edge: when an origin is picked, retried or hedged, and which outcome the
 * client gets. It is pure; the edge router carries out the effects and reports their results as events. A request that
 * is not idempotent goes to a second origin only while it is certain that no origin has run it.
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

/** A complete response of an origin; names of fields are in lower case. */
export interface OriginResponse {
  readonly status: number;
  readonly fields: HeaderFields;
  readonly body: Buffer;
  /** The origin says that it did not run the request. */
  readonly isUnprocessed: boolean;
}

/** The final outcome of a request: an origin's response, or why there is none. */
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
      /** After how many milliseconds the client may try again; 0 says nothing about it. */
      readonly retryAfterMs: number;
    };

/** One request from when it was read until its client has its reply. Attempts are numbered from 1. */
export interface RequestState {
  readonly isIdempotent: boolean;
  /** The largest number of attempts that may reach an origin. */
  readonly maxAttempts: number;
  readonly deadline: Timestamp;
  readonly phase: 'picking' | 'waiting' | 'finished';
  /** The instances of the attempts in flight. */
  readonly inFlight: ReadonlyMap<number, InstanceId>;
  readonly nextAttempt: number;
  /** Attempts that reached an origin, or may have. */
  readonly sentCount: number;
  /** Attempts whose connection never opened. */
  readonly unopenedCount: number;
  /** Whether an origin may have run the request. */
  readonly mayHaveRun: boolean;
  readonly triedInstances: ReadonlySet<InstanceId>;
  /** An origin's 5xx response: the outcome if no attempt brings a better one. */
  readonly fallback: Extract<RequestOutcome, { kind: 'response' }> | undefined;
}

/** What happened to a request. */
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
  /** An attempt ended without a complete response. */
  | {
      readonly kind: 'attemptFailed';
      readonly now: Timestamp;
      readonly attempt: number;
      /** Whether the request may have reached the origin. */
      readonly mayHaveReachedOrigin: boolean;
      readonly text: string;
    }
  /** The response is late: a hedge to another origin may be quicker. */
  | { readonly kind: 'hedgeDelayElapsed'; readonly now: Timestamp }
  | { readonly kind: 'deadlineExpired'; readonly now: Timestamp }
  | { readonly kind: 'clientDisconnected'; readonly now: Timestamp };

/** What the edge router does for a request. */
export type RequestEffect =
  /** Pick an endpoint; an extra attempt (retry or hedge) is charged to the budget. */
  | { readonly kind: 'pickEndpoint'; readonly isExtra: boolean }
  | { readonly kind: 'sendAttempt'; readonly attempt: number; readonly instance: InstanceId }
  | { readonly kind: 'cancelAttempt'; readonly attempt: number }
  | { readonly kind: 'finishRequest'; readonly outcome: RequestOutcome };

type RequestTransition = Transition<RequestState, RequestEffect>;

const maxUnopenedAttempts = 3;
const unprocessedRetryMs = 200;
const failedRetryMs = 200;
const expiredRetryMs = 200;
/** Statuses by which a client may conclude that nothing has run. */
const unprocessedStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** A request that has not been sent anywhere yet. */
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

/** The outcome when no origin will respond: it promises that nothing ran only if nothing has and nothing will. */
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

/** Waits for the attempts that are in flight, or ends the request if there are none. */
const waitOrFinish = (
  request: RequestState,
  text: string,
  retryAfterMs: number,
): RequestTransition =>
  request.inFlight.size > 0
    ? transition<RequestState, RequestEffect>({ ...request, phase: 'waiting' })
    : finish(request, finalOutcome(request, text, retryAfterMs));

/** Goes on after a futile attempt: with a retry, with the attempts still in flight, or to the end. */
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
  // By such a status a client would conclude that nothing ran, which the origin did not say.
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
  // An attempt that was never sent does not count: nothing ran.
  const uncounted: RequestState = {
    ...remaining,
    sentCount: remaining.sentCount - 1,
    unopenedCount: remaining.unopenedCount + 1,
  };
  return retryOrFinish(uncounted, text, failedRetryMs);
};

/** A hedge is sent for idempotent requests only, and beside a single attempt. */
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
  // An attempt in flight may still run.
  const mayRun = request.mayHaveRun || request.inFlight.size > 0;
  return finish(
    request,
    mayRun
      ? failureOutcome('slow', 'no origin answered in time', 0)
      : failureOutcome('rejected', 'no origin in time', expiredRetryMs),
  );
};

/** The next state of a request and what follows from it; a finished request ignores all events. */
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
