/**
 * Admission control of one service: decides which queued request starts next. Classes share the
 * slots of the endpoints by weight and may lend idle ones; under a rate limit, they are served by
 * weighted fair queuing.
 */

import {
  type ServiceClassName,
  type Timestamp,
  increment,
  prependEffects,
  transition,
  withEntry,
  withoutEntry,
} from '@switchwheel/types';
import { pickForRequest, startAttempt } from './attempts.js';
import { totalCapacity } from './endpoints.js';
import { hasExtraAttemptBudget } from './extra-attempt-budget.js';
import { hasToken, refillTokens } from './rate-limit.js';
import type { Endpoint, LeaderTransition, PendingRequest, ServiceLeader } from './state.js';

/** Minimum share of the rate limit per class; also the share of a class that configures none. */
const minClassShare = 0.05;
/** Keeps floating-point error from rounding a whole number of slots down. */
const roundingTolerance = 1e-9;

const shareOfSlots = (share: number, capacity: number): number =>
  Math.floor(share * capacity + roundingTolerance);

const attemptsByClass = (state: ServiceLeader): ReadonlyMap<ServiceClassName, number> => {
  const counts = new Map<ServiceClassName, number>();
  for (const attempt of state.attempts.values()) {
    const request = state.activeRequests.get(attempt.requestId);
    if (request !== undefined) increment(counts, request.className);
  }
  return counts;
};

/**
 * Returns the number of slots that must stay free for other classes when `className` starts one
 * more attempt.
 */
const reservedSlots = (
  state: ServiceLeader,
  className: ServiceClassName,
  capacity: number,
  usedSlots: ReadonlyMap<ServiceClassName, number>,
): number => {
  let slotCount = 0;
  for (const [otherName, other] of state.classes) {
    if (otherName === className) continue;
    const share = shareOfSlots(other.share, capacity);
    const idleSlots = Math.max(0, share - (usedSlots.get(otherName) ?? 0));
    const isWaiting = (state.queues.get(otherName)?.length ?? 0) > 0;
    // A lending class with an empty queue reserves one idle slot, so that its next request
    // starts without delay.
    slotCount +=
      other.lendsTo.includes(className) && !isWaiting ? Math.min(1, idleSlots) : idleSlots;
  }
  return slotCount;
};

/**
 * Whether a class may start one more attempt, given the slots in use by all classes. A class below
 * its share needs only a free slot.
 */
export const mayAdmit = (
  state: ServiceLeader,
  className: ServiceClassName,
  now: Timestamp,
): boolean => {
  const capacity = totalCapacity(state, now);
  const freeSlots = capacity - state.attempts.size;
  if (freeSlots <= 0) return false;
  const ownClass = state.classes.get(className);
  const usedSlots = attemptsByClass(state);
  if (
    ownClass !== undefined &&
    (usedSlots.get(className) ?? 0) < Math.max(1, shareOfSlots(ownClass.share, capacity))
  )
    return true;
  return freeSlots > reservedSlots(state, className, capacity, usedSlots);
};

/** Whether any attempt may start: the leader is not closing and the rate limit has a token left. */
export const canSend = (state: ServiceLeader): boolean => !state.isClosing && hasToken(state);

/** Returns the weight of a class under the service's rate limit. */
export const classShare = (state: ServiceLeader, className: ServiceClassName): number =>
  Math.max(minClassShare, state.classes.get(className)?.share ?? 0);

const rateUsageOf = (state: ServiceLeader, className: ServiceClassName): number =>
  state.rateUsage.get(className) ?? 0;

/**
 * Returns the classes with queued requests in service order: under a rate limit, the lowest
 * weighted usage first.
 */
const classTurnOrder = (state: ServiceLeader): readonly ServiceClassName[] => {
  const names = [...state.queues.keys()];
  return state.serviceConfiguration.perSecond === undefined
    ? names
    : names.sort((left, right) => rateUsageOf(state, left) - rateUsageOf(state, right));
};

/**
 * Raises the usage of a class that starts queuing to the lowest usage of the waiting classes, so
 * that idle time earns no credit.
 */
const enterTurnOrder = (state: ServiceLeader, className: ServiceClassName): ServiceLeader => {
  if (state.serviceConfiguration.perSecond === undefined || state.queues.has(className))
    return state;
  const others = [...state.queues.keys()].map((name) => rateUsageOf(state, name));
  return {
    ...state,
    rateUsage:
      others.length === 0
        ? new Map()
        : withEntry(
            state.rateUsage,
            className,
            Math.max(rateUsageOf(state, className), Math.min(...others)),
          ),
  };
};

/** Appends a request to the queue of its class. */
export const enqueue = (before: ServiceLeader, request: PendingRequest): ServiceLeader => {
  const { className } = request;
  const state = enterTurnOrder(before, className);
  const queue = [...(state.queues.get(className) ?? []), request];
  return { ...state, queues: withEntry(state.queues, className, queue) };
};

/** Returns the queues with one class's queue replaced; an empty queue is removed. */
export const withQueue = (
  queues: ServiceLeader['queues'],
  className: ServiceClassName,
  queue: readonly PendingRequest[],
): ServiceLeader['queues'] =>
  queue.length === 0 ? withoutEntry(queues, className) : withEntry(queues, className, queue);

interface Admission {
  readonly request: PendingRequest;
  readonly endpoint: Endpoint;
}

/**
 * Returns the next request of a class that may start, with the endpoint for it. Retries are skipped
 * while the budget of extra attempts is used up.
 */
const nextAdmission = (
  state: ServiceLeader,
  className: ServiceClassName,
  now: Timestamp,
): Admission | undefined => {
  if (!canSend(state) || !mayAdmit(state, className, now)) return undefined;
  const mayRetry = hasExtraAttemptBudget(state, now);
  const queue = state.queues.get(className) ?? [];
  const request = queue.find((waiting) => waiting.attemptCount === 0 || mayRetry);
  if (request === undefined) return undefined;
  const endpoint = pickForRequest(state, request, now);
  return endpoint === undefined ? undefined : { request, endpoint };
};

/** Removes an admitted request from its queue, charges its class and starts the attempt. */
const admit = (
  state: ServiceLeader,
  className: ServiceClassName,
  { request, endpoint }: Admission,
  now: Timestamp,
): LeaderTransition => {
  const queue = (state.queues.get(className) ?? []).filter((waiting) => waiting !== request);
  const queues = withQueue(state.queues, className, queue);
  const usage = rateUsageOf(state, className) + 1 / classShare(state, className);
  const rateUsage = withEntry(state.rateUsage, className, usage);
  return startAttempt({ ...state, queues, rateUsage }, request, endpoint, now);
};

/** Starts all queued requests that may start now. */
export const admitQueued = (before: ServiceLeader, now: Timestamp): LeaderTransition => {
  let next: LeaderTransition = transition(refillTokens(before, now));
  for (let hasAdmitted = true; hasAdmitted;) {
    hasAdmitted = false;
    for (const className of classTurnOrder(next.state)) {
      const admission = nextAdmission(next.state, className, now);
      if (admission === undefined) continue;
      next = prependEffects(next.effects, admit(next.state, className, admission, now));
      hasAdmitted = true;
      // Under a rate limit, each start changes the order of the classes.
      if (next.state.serviceConfiguration.perSecond !== undefined) break;
    }
  }
  return next;
};
