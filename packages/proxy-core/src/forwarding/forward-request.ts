/**
 * Basic operations on forwarded requests: send one to the leader of its service, keep it waiting
 * for a leader, fail it.
 */

import {
  type ErrorKind,
  type RequestId,
  type Timestamp,
  serviceLeaseOf,
  toDurationMs,
  transition,
  withEntry,
  withoutEntry,
} from '@switchwheel/types';
import type { ForwardedRequest, LeaseHolder } from '@switchwheel/transport';
import type {
  Forwarding,
  ForwardingEffect,
  ForwardingTransition,
  PendingForward,
} from './state.js';

/** Reason why a forwarded request fails. */
export interface ForwardFailure {
  readonly errorKind: ErrorKind;
  /** Shown to the client. */
  readonly text: string;
  /** Suggested delay before a retry, in milliseconds; 0 for none. */
  readonly retryAfterMs: number;
}

/**
 * Builds the effect that fails a request. One that may have run is reported as lost instead of
 * rejected.
 */
export const failRequest = (
  request: Pick<PendingForward, 'id' | 'mayHaveRun'>,
  { errorKind, text, retryAfterMs }: ForwardFailure,
): ForwardingEffect => ({
  kind: 'failRequest',
  id: request.id,
  errorKind: errorKind === 'rejected' && request.mayHaveRun ? 'lost' : errorKind,
  text,
  retryAfterMs,
});

/** Removes a request. */
export const endRequest = (state: Forwarding, id: RequestId): Forwarding => ({
  ...state,
  requests: withoutEntry(state.requests, id),
});

/** Records that a service has a leader: one has accepted a request, or a new one became known. */
export const recordLeaderSeen = (
  state: Forwarding,
  service: PendingForward['service'],
): Forwarding =>
  state.leaderAbsences.has(service)
    ? { ...state, leaderAbsences: withoutEntry(state.leaderAbsences, service) }
    : state;

const withRequest = (state: Forwarding, request: PendingForward): Forwarding => ({
  ...state,
  requests: withEntry(state.requests, request.id, request),
});

/** Keeps a request until a leader is known. */
const waitForLeader = (state: Forwarding, request: PendingForward, now: Timestamp): Forwarding => {
  const since = state.leaderAbsences.get(request.service)?.since ?? now;
  const leaderAbsences = withEntry(state.leaderAbsences, request.service, {
    since,
    lastTriedAt: now,
  });
  return withRequest(
    { ...state, leaderAbsences },
    { ...request, phase: { phase: 'waiting', since: now } },
  );
};

/** Builds the frame of a request without its body, with the names used on the wire. */
const toFrame = (
  request: PendingForward,
  leader: LeaseHolder,
  now: Timestamp,
): Omit<ForwardedRequest, 'body'> => ({
  kind: 'ask',
  id: request.id,
  service: request.service,
  generation: request.generation,
  route: request.route,
  group: request.className,
  method: request.method,
  host: request.host,
  path: request.path,
  fields: request.fields,
  repeatable: request.isIdempotent,
  storable: request.isCacheable,
  again: request.mayHaveRun,
  extra: request.hasAttemptStarted,
  purged: request.requiredPurgeSeq,
  epoch: leader.epoch,
  left: toDurationMs(Math.max(1, request.deadline - now)),
});

/**
 * Sends a request to the leader of its service. It waits while no leader with at least epoch
 * `minEpoch` is known.
 */
export const forwardToLeader = (
  state: Forwarding,
  request: PendingForward,
  minEpoch: number,
  now: Timestamp,
): ForwardingTransition => {
  const leader = state.leaseHolders.get(serviceLeaseOf(request.service));
  if (leader === undefined || leader.epoch < minEpoch)
    return transition(waitForLeader(state, request, now));
  const to = leader.door ?? leader.address;
  const sent: PendingForward = {
    ...request,
    phase: { phase: 'sent', leader: to, epoch: leader.epoch },
  };
  return transition(withRequest(state, sent), {
    kind: 'sendRequest',
    to,
    request: toFrame(sent, leader, now),
  });
};

/**
 * Sends a request again, or fails it after its deadline. The caller ensures that a retry is safe.
 */
export const retryRequest = (
  state: Forwarding,
  request: PendingForward,
  minEpoch: number,
  now: Timestamp,
): ForwardingTransition =>
  now >= request.deadline
    ? transition(
        endRequest(state, request.id),
        failRequest(request, {
          errorKind: 'rejected',
          text: 'no keeper took it',
          retryAfterMs: 500,
        }),
      )
    : forwardToLeader(state, request, minEpoch, now);
