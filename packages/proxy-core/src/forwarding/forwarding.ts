/**
 * Forwarding of requests by an edge: each request is sent to the leader of its service, waits while
 * there is none, and is moved to the next leader where that is safe. Bodies and responses are
 * handled by the request handler.
 */

import { type Timestamp, prependEffects, transition, withEntry } from '@switchwheel/types';
import {
  type ForwardFailure,
  endRequest,
  failRequest,
  forwardToLeader,
} from './forward-request.js';
import {
  onAttemptStarted,
  onChannelLost,
  onLeaseHoldersChanged,
  onRequestRejected,
  onResponseStarted,
} from './leader-events.js';
import {
  type Forwarding,
  type ForwardingEffect,
  type ForwardingEvent,
  type ForwardingTransition,
  type NewForward,
  type PendingForward,
  maxForwardedRequests,
} from './state.js';

/** Interval at which a waiting request is sent to the known leader again. */
const redispatchIntervalMs = 100;
/** Time that a request waits for a leader; well above the duration of a change of leader. */
const leaderlessGraceMs = 2000;
/** Suggested retry delay for clients of requests that are rejected here. */
const rejectionRetryAfterMs = 1000;

const noLeaderFailure: ForwardFailure = {
  errorKind: 'rejected',
  text: 'no keeper for a while',
  retryAfterMs: rejectionRetryAfterMs,
};

const hasCapacity = (state: Forwarding, { className }: NewForward): boolean => {
  let sameClassCount = 0;
  for (const request of state.requests.values())
    if (request.className === className) sameClassCount += 1;
  return state.requests.size < maxForwardedRequests && sameClassCount < maxForwardedRequests / 2;
};

const rejectNew = ({ id }: NewForward, failure: ForwardFailure): ForwardingEffect =>
  failRequest({ id, mayHaveRun: false }, failure);

const onRequestAccepted = (
  state: Forwarding,
  accepted: NewForward,
  now: Timestamp,
): ForwardingTransition => {
  const request: PendingForward = {
    ...accepted,
    mayHaveRun: false,
    hasAttemptStarted: false,
    phase: { phase: 'waiting', since: now },
  };
  const absence = state.leaderAbsences.get(request.service);
  if (absence !== undefined && now - absence.since > leaderlessGraceMs) {
    // One request per interval probes for a leader; all others fail at once.
    if (now - absence.lastTriedAt < redispatchIntervalMs)
      return transition(state, rejectNew(accepted, noLeaderFailure));
    const updatedAbsence = { ...absence, lastTriedAt: now };
    const leaderAbsences = withEntry(state.leaderAbsences, request.service, updatedAbsence);
    return forwardToLeader({ ...state, leaderAbsences }, request, 0, now);
  }
  if (!hasCapacity(state, accepted))
    return transition(
      state,
      rejectNew(accepted, {
        errorKind: 'rejected',
        text: 'too many requests are under way',
        retryAfterMs: rejectionRetryAfterMs,
      }),
    );
  return forwardToLeader(state, request, 0, now);
};

const cancellation = (request: PendingForward): readonly ForwardingEffect[] =>
  request.phase.phase === 'waiting'
    ? []
    : [{ kind: 'cancelRequest', to: request.phase.leader, id: request.id }];

/**
 * Handles a client's cancellation. A request that was sent to a leader may have run, so its outcome
 * is reported as unknown.
 */
const onRequestCancelled = (
  state: Forwarding,
  event: Extract<ForwardingEvent, { kind: 'requestCancelled' }>,
): ForwardingTransition => {
  const request = state.requests.get(event.id);
  if (request === undefined) return transition(state);
  const isWaiting = request.phase.phase === 'waiting';
  return transition(
    endRequest(state, event.id),
    ...cancellation(request),
    failRequest(request, {
      errorKind: isWaiting ? 'rejected' : 'unknown',
      text: event.text,
      retryAfterMs: isWaiting ? rejectionRetryAfterMs : 0,
    }),
  );
};

const onNodeDisconnected = (state: Forwarding): ForwardingTransition => {
  const waiting = [...state.requests.values()].filter(
    (request) => request.phase.phase === 'waiting',
  );
  return transition(
    waiting.reduce((next, request) => endRequest(next, request.id), state),
    ...waiting.map((request) =>
      failRequest(request, {
        errorKind: 'rejected',
        text: 'this node is out of touch',
        retryAfterMs: rejectionRetryAfterMs,
      }),
    ),
  );
};

const expiryFailure = (request: PendingForward): ForwardFailure =>
  request.phase.phase === 'sent'
    ? {
        errorKind: request.isIdempotent ? 'slow' : 'unknown',
        text: 'no result in time',
        retryAfterMs: 0,
      }
    : { errorKind: 'rejected', text: 'no keeper in time', retryAfterMs: rejectionRetryAfterMs };

const tickRequest = (
  state: Forwarding,
  request: PendingForward,
  now: Timestamp,
): ForwardingTransition => {
  const { phase } = request;
  if (phase.phase === 'responding') return transition(state);
  if (now >= request.deadline)
    return transition(
      endRequest(state, request.id),
      ...cancellation(request),
      failRequest(request, expiryFailure(request)),
    );
  if (phase.phase === 'sent') return transition(state);
  const absence = state.leaderAbsences.get(request.service);
  if (absence !== undefined && now - absence.since > leaderlessGraceMs)
    return transition(endRequest(state, request.id), failRequest(request, noLeaderFailure));
  return now - phase.since > redispatchIntervalMs
    ? forwardToLeader(state, request, 0, now)
    : transition(state);
};

const onTick = (state: Forwarding, now: Timestamp): ForwardingTransition => {
  let next: ForwardingTransition = transition(state);
  for (const request of state.requests.values())
    next = prependEffects(next.effects, tickRequest(next.state, request, now));
  return next;
};

/** Reducer of the forwarding module; the only place where its state changes. */
export const forwardingTransition = (
  state: Forwarding,
  event: ForwardingEvent,
): ForwardingTransition => {
  switch (event.kind) {
    case 'requestAccepted':
      return onRequestAccepted(state, event.request, event.now);
    case 'leaseHoldersChanged':
      return onLeaseHoldersChanged(state, event);
    case 'responseStarted':
      return onResponseStarted(state, event);
    case 'attemptStarted':
      return onAttemptStarted(state, event);
    case 'requestRejected':
      return onRequestRejected(state, event);
    case 'responseCompleted':
      return transition(endRequest(state, event.id));
    case 'channelLost':
      return onChannelLost(state, event);
    case 'requestCancelled':
      return onRequestCancelled(state, event);
    case 'nodeDisconnected':
      return onNodeDisconnected(state);
    case 'tick':
      return onTick(state, event.now);
  }
};
