/**
 * An edge's side of forwarding: each request goes to the leader of its service, waits while there
 * is none, and goes to the next leader where that is safe. Bodies and responses are the request
 * handler's; this module sees neither.
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

/** After how long a waiting request is sent to the leader that is known again. */
const redispatchIntervalMs = 100;
/** How long a request waits for a leader: well over what a change of the leader takes. */
const leaderlessGraceMs = 2000;
/** When a client whose request was rejected here may come back. */
const retryAfterMs = 1000;

const noLeaderFailure: ForwardFailure = {
  errorKind: 'rejected',
  text: 'no keeper for a while',
  retryAfterMs,
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
    // One request at a time finds out whether there is a leader again; the others fail at once.
    if (now - absence.lastTriedAt < redispatchIntervalMs)
      return transition(state, rejectNew(accepted, noLeaderFailure));
    const tried = { ...absence, lastTriedAt: now };
    const leaderAbsences = withEntry(state.leaderAbsences, request.service, tried);
    return forwardToLeader({ ...state, leaderAbsences }, request, 0, now);
  }
  if (!hasCapacity(state, accepted))
    return transition(
      state,
      rejectNew(accepted, {
        errorKind: 'rejected',
        text: 'too many requests are under way',
        retryAfterMs,
      }),
    );
  return forwardToLeader(state, request, 0, now);
};

const cancellation = (request: PendingForward): readonly ForwardingEffect[] =>
  request.phase.phase === 'waiting'
    ? []
    : [{ kind: 'cancelRequest', to: request.phase.leader, id: request.id }];

/** Nobody can say of a request that was sent to a leader that it did not run. */
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
      retryAfterMs: isWaiting ? retryAfterMs : 0,
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
        retryAfterMs,
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
    : { errorKind: 'rejected', text: 'no keeper in time', retryAfterMs };

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

/** The reducer of an edge's forwarding: every change of its state goes through it. */
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
