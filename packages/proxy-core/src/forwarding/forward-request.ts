/**
 * The steps that any event may take with a forwarded request: send it to the leader of its service,
 * keep it waiting, end it.
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

/** How a forwarded request fails. */
export interface ForwardFailure {
  readonly errorKind: ErrorKind;
  /** Shown to the client. */
  readonly text: string;
  /** After how many milliseconds the client may retry; 0 for no advice. */
  readonly retryAfterMs: number;
}

/** Builds the effect that fails a request. One that may have run is not reported as rejected. */
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

/** Forgets a request. */
export const endRequest = (state: Forwarding, id: RequestId): Forwarding => ({
  ...state,
  requests: withoutEntry(state.requests, id),
});

/** Records that a service has a leader, as one took a request of it. */
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

/** The frame of a request without its body, by the names that go on the wire. */
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

/** Sends a request to the leader of its service; without one of at least the given epoch it waits. */
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

/** Sends a request again, if its time is not over. The caller has made sure that this is safe. */
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
