/**
 * Arrival of a forwarded request: it is queued, or rejected at once if it can't be served before
 * its deadline. Results of its attempts are handled in `attempt-result`.
 */

import { addMs, transition } from '@switchwheel/types';
import { admitQueued, enqueue } from './admission.js';
import { estimatedWaitMs, isWithoutEndpoints, minRetryAfterMs } from './queue-wait.js';
import { type Rejection, rejectRequest } from './reject-request.js';
import type {
  LeaderTransition,
  PendingRequest,
  ServiceLeader,
  ServiceLeaderEvent,
} from './state.js';

type RequestArrived = Extract<ServiceLeaderEvent, { kind: 'requestArrived' }>;

/** Retry delay suggested to the client when the service has no usable endpoint. */
const noEndpointRetryAfterMs = 500;

const isKnown = (state: ServiceLeader, id: RequestArrived['id']): boolean =>
  state.activeRequests.has(id) ||
  [...state.queues.values()].some((queue) => queue.some((request) => request.id === id));

/**
 * Returns the rejection of a request whose queue is full or whose deadline can't be met; undefined
 * if it may be queued.
 */
const queueRejection = (state: ServiceLeader, event: RequestArrived): Rejection | undefined => {
  const { now, className, remainingMs } = event;
  const waitMs = estimatedWaitMs(state, className, now);
  const retryAfterMs = Math.max(minRetryAfterMs, waitMs);
  // The limit applies per class, so that a burst of one class does not fill the queues of others.
  if ((state.queues.get(className)?.length ?? 0) >= state.serviceConfiguration.waitlist)
    return { errorKind: 'rejected', text: 'the waitlist is full', retryAfterMs };
  if (waitMs + Math.min(state.latencyEwmaMs, remainingMs / 2) > remainingMs)
    return { errorKind: 'rejected', text: 'the deadline can not be met', retryAfterMs };
  return undefined;
};

const toPendingRequest = (event: RequestArrived): PendingRequest => ({
  id: event.id,
  className: event.className,
  isIdempotent: event.isIdempotent,
  deadline: addMs(event.now, event.remainingMs),
  attemptCount: event.hasEarlierAttempt ? 1 : 0,
  triedInstances: new Set(),
  mayHaveRun: event.mayHaveRun,
});

/**
 * Queues a request and starts all that may start, or rejects it. A request that is already known is
 * ignored.
 */
export const onRequestArrived = (state: ServiceLeader, event: RequestArrived): LeaderTransition => {
  const { now, id } = event;
  if (state.isClosing)
    return transition(
      state,
      rejectRequest(id, {
        errorKind: 'rejected',
        text: 'the keeper is closing',
        retryAfterMs: 0,
        leaderMoved: true,
      }),
    );
  if (isKnown(state, id)) return transition(state);
  const counted = { ...state, requestCount: state.requestCount + 1 };
  if (isWithoutEndpoints(state, now))
    return transition(
      counted,
      rejectRequest(id, {
        errorKind: event.mayHaveRun ? 'lost' : 'rejected',
        text: 'no origin for a while',
        retryAfterMs: noEndpointRetryAfterMs,
      }),
    );
  const rejection = queueRejection(state, event);
  if (rejection !== undefined) return transition(state, rejectRequest(id, rejection));
  return admitQueued(enqueue(counted, toPendingRequest(event)), now);
};
