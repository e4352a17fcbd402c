/**
 * Admission control of one service: which queued request starts next. Classes share the slots of
 * the endpoints by weight and may lend idle ones; under a rate limit they take turns by weight.
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

/** The share that a class without one, or with a smaller one, has of the rate limit. */
const minClassShare = 0.05;
/** Keeps a share of a whole number of slots from being rounded down. */
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

/** How many slots must stay free for the other classes when a class starts one more attempt. */
const reservedSlots = (
  state: ServiceLeader,
  className: ServiceClassName,
  capacity: number,
  usedSlots: ReadonlyMap<ServiceClassName, number>,
): number => {
  let sum = 0;
  for (const [otherName, other] of state.classes) {
    if (otherName === className) continue;
    const share = shareOfSlots(other.share, capacity);
    const idle = Math.max(0, share - (usedSlots.get(otherName) ?? 0));
    const isWaiting = (state.queues.get(otherName)?.length ?? 0) > 0;
    // A lender with an empty queue lends all but one slot, so that its next request can start at once.
    sum += other.lendsTo.includes(className) && !isWaiting ? Math.min(1, idle) : idle;
  }
  return sum;
};

/** Whether a class may start one more attempt now, by the slots that it and the others use. */
export const mayAdmit = (
  state: ServiceLeader,
  className: ServiceClassName,
  now: Timestamp,
): boolean => {
  const capacity = totalCapacity(state, now);
  const free = capacity - state.attempts.size;
  if (free <= 0) return false;
  const ownClass = state.classes.get(className);
  const usedSlots = attemptsByClass(state);
  if (
    ownClass !== undefined &&
    (usedSlots.get(className) ?? 0) < Math.max(1, shareOfSlots(ownClass.share, capacity))
  )
    return true;
  return free > reservedSlots(state, className, capacity, usedSlots);
};

/** Whether any attempt may start at all: not while the leader closes or its rate limit is used up. */
export const canSend = (state: ServiceLeader): boolean => !state.isClosing && hasToken(state);

/** The weight of a class under the service's rate limit. */
export const classShare = (state: ServiceLeader, className: ServiceClassName): number =>
  Math.max(minClassShare, state.classes.get(className)?.share ?? 0);

const rateUsageOf = (state: ServiceLeader, className: ServiceClassName): number =>
  state.rateUsage.get(className) ?? 0;

/** The waiting classes in turn: under a rate limit the one first that used least for its weight. */
const classTurnOrder = (state: ServiceLeader): readonly ServiceClassName[] => {
  const names = [...state.queues.keys()];
  return state.serviceConfiguration.perSecond === undefined
    ? names
    : names.sort((left, right) => rateUsageOf(state, left) - rateUsageOf(state, right));
};

/** Lets a class join the turns as if it had used as much as the others: idle time earns no credit. */
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

/** Puts a new request at the end of its class's queue. */
export const enqueue = (before: ServiceLeader, request: PendingRequest): ServiceLeader => {
  const { className } = request;
  const state = enterTurnOrder(before, className);
  const queue = [...(state.queues.get(className) ?? []), request];
  return { ...state, queues: withEntry(state.queues, className, queue) };
};

/** The queues with a class's queue replaced; an empty one goes. */
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

/** The request of a class that may start now, and where. */
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

/** Takes an admitted request out of its queue, charges its class and starts the attempt. */
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

/** Starts all queued requests that may start now, class by class, each class in its order. */
export const admitQueued = (before: ServiceLeader, now: Timestamp): LeaderTransition => {
  let next: LeaderTransition = transition(refillTokens(before, now));
  for (let hasAdmitted = true; hasAdmitted;) {
    hasAdmitted = false;
    for (const className of classTurnOrder(next.state)) {
      const admission = nextAdmission(next.state, className, now);
      if (admission === undefined) continue;
      next = prependEffects(next.effects, admit(next.state, className, admission, now));
      hasAdmitted = true;
      // Under a rate limit each start changes whose turn it is.
      if (next.state.serviceConfiguration.perSecond !== undefined) break;
    }
  }
  return next;
};
