/**
 * What leaders, and the channels to them, do to forwarded requests: rejections, responses, a lost
 * channel, a change of the leader.
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

/** Sends a request to a new leader, if that is safe and no response has begun. */
const moveToLeader = (
  state: Forwarding,
  request: PendingForward,
  leader: LeaseHolder,
  now: Timestamp,
): ForwardingTransition => {
  const { phase } = request;
  if (phase.phase === 'responding') return transition(state);
  if (phase.phase === 'waiting') return forwardToLeader(state, request, 0, now);
  // The earlier leader may be frozen; a request that is not idempotent stays with it all the same.
  if (!request.isIdempotent || phase.epoch >= leader.epoch) return transition(state);
  const cancel: ForwardingEffect = { kind: 'cancelRequest', to: phase.leader, id: request.id };
  return prependEffects([cancel], forwardToLeader(state, { ...request, mayHaveRun: true }, 0, now));
};

/** Takes over who leads which service, and sends on what can move to a new leader. */
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

/** A leader rejected a request; where the lease has moved, the next leader gets it. */
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

/** The head of a response came in: from now on no other leader may respond. */
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

/** A leader started the first attempt of a request. */
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

/** A channel to a leader closed: what is safe goes to the next leader, the rest fails. */
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
