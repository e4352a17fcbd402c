/**
 * Events from service leaders and their channels: rejections, responses, lost channels and changes
 * of leader.
 */

import {
  type Address,
  type RequestId,
  type Timestamp,
  prependEffects,
  serviceLeaseOf,
  transition,
  withEntry,
} from '@switchwheel/types';
import type { LeaseHolder } from '@switchwheel/transport';
import {
  endRequest,
  failRequest,
  forwardToLeader,
  recordLeaderSeen,
  retryRequest,
} from './forward-request.js';
import type {
  Forwarding,
  ForwardingEffect,
  ForwardingEvent,
  ForwardingTransition,
  ForwardPhase,
  PendingForward,
} from './state.js';

type EventOf<K extends ForwardingEvent['kind']> = Extract<ForwardingEvent, { kind: K }>;
type SentRequest = PendingForward & { readonly phase: Extract<ForwardPhase, { phase: 'sent' }> };

const isSentTo = (request: PendingForward | undefined, leader: Address): request is SentRequest =>
  request?.phase.phase === 'sent' && request.phase.leader === leader;

/** Moves a request to a new leader, if that is safe and no response has started. */
const moveToLeader = (
  state: Forwarding,
  request: PendingForward,
  leader: LeaseHolder,
  now: Timestamp,
): ForwardingTransition => {
  const { phase } = request;
  if (phase.phase === 'responding') return transition(state);
  if (phase.phase === 'waiting') return forwardToLeader(state, request, 0, now);
  // A non-idempotent request stays with the previous leader, which may be suspended rather than
  // gone.
  if (!request.isIdempotent || phase.epoch >= leader.epoch) return transition(state);
  const cancel: ForwardingEffect = { kind: 'cancelRequest', to: phase.leader, id: request.id };
  return prependEffects([cancel], forwardToLeader(state, { ...request, mayHaveRun: true }, 0, now));
};

/** Updates the leaders of services, and moves requests to new leaders. */
export const onLeaseHoldersChanged = (
  state: Forwarding,
  { leaseHolders, now }: EventOf<'leaseHoldersChanged'>,
): ForwardingTransition => {
  const isChanged = (service: PendingForward['service']): boolean => {
    const lease = serviceLeaseOf(service);
    return leaseHolders.get(lease) !== state.leaseHolders.get(lease);
  };
  let next: ForwardingTransition = transition({ ...state, leaseHolders });
  for (const service of state.leaderAbsences.keys())
    if (isChanged(service)) next = transition(recordLeaderSeen(next.state, service));
  for (const request of state.requests.values()) {
    const leader = leaseHolders.get(serviceLeaseOf(request.service));
    if (leader === undefined || !isChanged(request.service)) continue;
    next = prependEffects(next.effects, moveToLeader(next.state, request, leader, now));
  }
  return next;
};

/**
 * Handles a leader's rejection of a request. If leadership has moved, the request is sent to the
 * next leader.
 */
export const onRequestRejected = (
  state: Forwarding,
  { frame, from, now }: EventOf<'requestRejected'>,
): ForwardingTransition => {
  const request = state.requests.get(frame.id);
  if (!isSentTo(request, from)) return transition(state);
  if (frame.moved) return retryRequest(state, request, request.phase.epoch + 1, now);
  return transition(
    endRequest(recordLeaderSeen(state, request.service), frame.id),
    failRequest(request, {
      errorKind: frame.errorKind,
      text: frame.text,
      retryAfterMs: frame.retryAfter,
    }),
  );
};

/** Handles the head of a response; from then on no other leader may respond. */
export const onResponseStarted = (
  state: Forwarding,
  { frame, from }: EventOf<'responseStarted'>,
): ForwardingTransition => {
  const request = state.requests.get(frame.id);
  if (!isSentTo(request, from)) return transition(state);
  const responding: PendingForward = { ...request, phase: { phase: 'responding', leader: from } };
  return transition(
    {
      ...recordLeaderSeen(state, request.service),
      requests: withEntry(state.requests, request.id, responding),
    },
    { kind: 'startResponse', to: from, id: request.id, frame },
  );
};

/** Handles the start of a request's first attempt. */
export const onAttemptStarted = (
  state: Forwarding,
  { id, from }: EventOf<'attemptStarted'>,
): ForwardingTransition => {
  const request = state.requests.get(id);
  if (!isSentTo(request, from) || request.hasAttemptStarted) return transition(state);
  const started: PendingForward = { ...request, hasAttemptStarted: true };
  return transition({
    ...recordLeaderSeen(state, request.service),
    requests: withEntry(state.requests, request.id, started),
  });
};

const onRequestChannelLost = (
  state: Forwarding,
  request: SentRequest,
  unsentIds: ReadonlySet<RequestId>,
  now: Timestamp,
): ForwardingTransition => {
  const isUnsent = unsentIds.has(request.id);
  const isSafeToRetry = isUnsent || request.isIdempotent;
  if (!isSafeToRetry)
    return transition(
      endRequest(state, request.id),
      failRequest(request, {
        errorKind: 'unknown',
        text: 'the channel to the keeper ended before a result',
        retryAfterMs: 0,
      }),
    );
  const mayHaveRun = request.mayHaveRun || !isUnsent;
  return retryRequest(state, { ...request, mayHaveRun }, request.phase.epoch + 1, now);
};

/**
 * Handles the loss of a channel to a leader: requests that are safe to retry are sent to the next
 * leader, the others fail.
 */
export const onChannelLost = (
  state: Forwarding,
  { leader, unsentIds, now }: EventOf<'channelLost'>,
): ForwardingTransition => {
  let next: ForwardingTransition = transition(state);
  for (const request of state.requests.values()) {
    if (!isSentTo(request, leader)) continue;
    next = prependEffects(next.effects, onRequestChannelLost(next.state, request, unsentIds, now));
  }
  return next;
};
