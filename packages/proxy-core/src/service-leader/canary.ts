/**
 * Canary releases: a new release gets a small share of its service's traffic until it is promoted;
 * a failing one is rejected and gets none. Its requests are reserved in the store before they are
 * sent, so that a change of leader does not grant them twice.
 */

import { type Timestamp, type Release, transition, withEntry } from '@switchwheel/types';
import type { CanaryResult } from '@switchwheel/transport';
import type {
  AttemptOutcome,
  Canary,
  LeaderTransition,
  ServiceLeader,
  ServiceLeaderEffect,
} from './state.js';

/** Number of requests that are reserved for a canary at a time. */
const reservationBatchSize = 20;
/**
 * Requests that a canary may receive in addition to its traffic share; the rule (R10) allows 50.
 */
const canaryBaseRequests = 45;
/** Share of the service's traffic that a canary may receive; the rule (R10) allows a tenth. */
const canaryTrafficShare = 0.08;
/** Conditions of promotion: successes, minimum duration and maximum share of failures. */
const minPromotionSuccesses = 40;
const minPromotionMs = 3000;
const maxPromotionFailureShare = 0.05;
/**
 * Conditions of rejection: a number of failures, or a smaller number that is a large share of the
 * results.
 */
const maxCanaryFailures = 25;
const minFailuresToReject = 8;
const maxCanaryFailureShare = 0.2;
/** Interval at which a report that the store has not confirmed is repeated. */
const reportRetryIntervalMs = 500;
/**
 * Amount that a success subtracts from the failure score; a failure adds 1, so the score rises when
 * more than one result in eight is a failure.
 */
const failureScoreDecay = 1 / 7;
const maxFailureScore = 12;
const maxFallbackFailureScore = 4;

interface NewCanary {
  readonly release: Release;
  readonly state: Canary['state'];
  /** The leader's request count when the canary started. */
  readonly requestCount: number;
}

const newCanary = ({ release, state, requestCount }: NewCanary, now: Timestamp): Canary => ({
  release,
  reservedRequests: 0,
  usedRequests: 0,
  successes: 0,
  failures: 0,
  failureScore: 0,
  priorTraffic: 0,
  requestCountAtStart: requestCount,
  startedAt: now,
  reportedAt: undefined,
  reportedFailures: 0,
  state,
  isStored: false,
});

const withCanaries = (state: ServiceLeader, canaries: ServiceLeader['canaries']): ServiceLeader =>
  canaries === state.canaries ? state : { ...state, canaries };

/**
 * Creates a canary from its stored result. Requests reserved by an earlier leader count as used,
 * because that leader may have sent them.
 */
const canaryFromStore = (
  { requestCount }: ServiceLeader,
  stored: CanaryResult,
  now: Timestamp,
): Canary => ({
  ...newCanary({ release: stored.release, state: stored.state, requestCount }, now),
  reservedRequests: stored.spent,
  usedRequests: stored.spent,
  failures: stored.bad,
  reportedFailures: stored.bad,
  successes: stored.good,
  priorTraffic: stored.seen,
  isStored: true,
});

const mergedState = (left: Canary['state'], right: Canary['state']): Canary['state'] => {
  if (left === 'bad' || right === 'bad') return 'bad';
  return left === 'good' || right === 'good' ? 'good' : 'trial';
};

/** Merges a canary with its stored result: reservations only grow, and a rejection is final. */
const mergeStored = (known: Canary, stored: CanaryResult): Canary => {
  const state = mergedState(known.state, stored.state);
  const reservedRequests = Math.max(known.reservedRequests, stored.spent);
  const hasGrown = reservedRequests > known.reservedRequests;
  if (state === known.state && !hasGrown && known.isStored) return known;
  return {
    ...known,
    state,
    reservedRequests,
    reportedAt: hasGrown ? undefined : known.reportedAt,
    isStored: true,
  };
};

/** Applies the stored canary results of this service. */
export const applyCanaryResults = (
  state: ServiceLeader,
  results: readonly CanaryResult[],
  now: Timestamp,
): ServiceLeader => {
  let canaries = state.canaries;
  for (const stored of results) {
    if (stored.service !== state.service) continue;
    const current = canaries.get(stored.release);
    const next =
      current === undefined ? canaryFromStore(state, stored, now) : mergeStored(current, stored);
    if (next !== current) canaries = withEntry(canaries, stored.release, next);
  }
  return withCanaries(state, canaries);
};

/**
 * Starts a canary for each new release. While no release is promoted, a new one is promoted at
 * once.
 */
export const startCanaries = (state: ServiceLeader, now: Timestamp): LeaderTransition => {
  let canaries = state.canaries;
  const effects: ServiceLeaderEffect[] = [];
  const { service, requestCount } = state;
  for (const { isLive, release } of state.endpoints.values()) {
    if (!isLive || canaries.has(release)) continue;
    const isFirst = ![...canaries.values()].some((canary) => canary.state === 'good');
    const canary = newCanary({ release, state: isFirst ? 'good' : 'trial', requestCount }, now);
    canaries = withEntry(canaries, release, canary);
    effects.push({
      kind: 'reportCanary',
      service,
      release,
      reservedRequests: 0,
      failures: 0,
      successes: 0,
      traffic: 0,
      state: canary.state,
    });
  }
  return transition(withCanaries(state, canaries), ...effects);
};

/**
 * Returns the number of the service's requests since the canary started, including those reported
 * by earlier leaders.
 */
const trafficSinceStart = (state: ServiceLeader, canary: Canary): number =>
  canary.priorTraffic + state.requestCount - canary.requestCountAtStart;

/** Returns the number of requests that a canary may have received so far. */
const trafficBudget = (state: ServiceLeader, canary: Canary): number =>
  canaryBaseRequests + canaryTrafficShare * trafficSinceStart(state, canary);

/** Returns the traffic budget, capped by the reservation in the store. */
const allowance = (state: ServiceLeader, canary: Canary): number =>
  Math.min(canary.reservedRequests, Math.floor(trafficBudget(state, canary)));

/** Whether a release may receive one more request. */
export const mayReceiveTraffic = (state: ServiceLeader, release: Release): boolean => {
  const canary = state.canaries.get(release);
  if (canary === undefined || canary.state === 'bad') return false;
  return canary.state === 'good' || canary.usedRequests < allowance(state, canary);
};

/** Counts a request that is sent to a release against its canary. */
export const countCanaryRequest = (state: ServiceLeader, release: Release): ServiceLeader => {
  const canary = state.canaries.get(release);
  if (canary === undefined) return state;
  const counted = { ...canary, usedRequests: canary.usedRequests + 1 };
  return { ...state, canaries: withEntry(state.canaries, release, counted) };
};

const canaryReport = (
  state: ServiceLeader,
  canary: Canary,
  reservedRequests = canary.reservedRequests,
): ServiceLeaderEffect => ({
  kind: 'reportCanary',
  service: state.service,
  release: canary.release,
  reservedRequests,
  failures: canary.failures,
  successes: canary.successes,
  traffic: trafficSinceStart(state, canary),
  state: canary.state,
});

/**
 * Whether a release is live and healthy enough to fall back to. A release without reserved requests
 * was never a canary and always qualifies.
 */
const isFallback = (state: ServiceLeader, canary: Canary): boolean =>
  canary.state === 'good' &&
  (canary.reservedRequests === 0 || canary.failureScore < maxFallbackFailureScore) &&
  [...state.endpoints.values()].some(
    (endpoint) => endpoint.isLive && endpoint.release === canary.release,
  );

/** Whether a promoted release is failing while another release is available to fall back to. */
const hasRegressed = (state: ServiceLeader, canary: Canary): boolean =>
  canary.failureScore >= maxFailureScore &&
  [...state.canaries.values()].some(
    (other) => other.release !== canary.release && isFallback(state, other),
  );

/** Whether a canary meets the conditions of promotion. */
const hasEarnedPromotion = (canary: Canary, now: Timestamp): boolean =>
  canary.successes >= minPromotionSuccesses &&
  canary.failures <= maxPromotionFailureShare * (canary.successes + canary.failures) &&
  now - canary.startedAt >= minPromotionMs;

/** Whether a canary meets the conditions of rejection. */
const isFailing = (canary: Canary): boolean =>
  canary.failures >= maxCanaryFailures ||
  (canary.failures >= minFailuresToReject &&
    canary.failures > maxCanaryFailureShare * (canary.successes + canary.failures));

/** Returns the new state of a canary after its latest result; undefined if it stays the same. */
const canaryDecision = (
  state: ServiceLeader,
  canary: Canary,
  now: Timestamp,
): 'good' | 'bad' | undefined => {
  switch (canary.state) {
    case 'trial':
      if (isFailing(canary)) return 'bad';
      return hasEarnedPromotion(canary, now) ? 'good' : undefined;
    case 'good':
      return canary.reservedRequests > 0 && hasRegressed(state, canary) ? 'bad' : undefined;
    case 'bad':
      return undefined;
  }
};

const withOutcome = (canary: Canary, isFailure: boolean): Canary =>
  isFailure
    ? { ...canary, failures: canary.failures + 1, failureScore: canary.failureScore + 1 }
    : {
        ...canary,
        successes: canary.successes + 1,
        failureScore: Math.max(0, canary.failureScore - failureScoreDecay),
      };

/**
 * Records the outcome of an attempt in the canary of its release, and reports a promotion or
 * rejection that follows.
 */
export const recordCanaryOutcome = (
  state: ServiceLeader,
  release: Release,
  outcome: AttemptOutcome,
  now: Timestamp,
): LeaderTransition => {
  const previous = state.canaries.get(release);
  const { kind } = outcome;
  if (previous === undefined || kind === 'notRun' || kind === 'notSent' || kind === 'cancelled')
    return transition(state);
  const counted = withOutcome(previous, kind !== 'succeeded');
  const decision = canaryDecision(state, counted, now);
  const canary = decision === undefined ? counted : { ...counted, state: decision };
  const next = { ...state, canaries: withEntry(state.canaries, release, canary) };
  return decision === undefined ? transition(next) : transition(next, canaryReport(state, canary));
};

/**
 * Returns the number of requests to reserve for a canary; more are reserved before the current
 * reservation is used up.
 */
const wantedReservation = (state: ServiceLeader, canary: Canary): number =>
  canary.state === 'trial' &&
  canary.usedRequests + reservationBatchSize / 2 > canary.reservedRequests &&
  canary.usedRequests <= trafficBudget(state, canary)
    ? canary.usedRequests + reservationBatchSize
    : canary.reservedRequests;

/** Whether the store lacks the canary, or recent failures that later leaders need to know. */
const isReportDue = (canary: Canary): boolean =>
  !canary.isStored || (canary.state === 'trial' && canary.failures > canary.reportedFailures);

/**
 * Promotes canaries that have reached the minimum duration, reserves more requests in the store,
 * and repeats unconfirmed reports.
 */
export const advanceCanaries = (state: ServiceLeader, now: Timestamp): LeaderTransition => {
  let canaries = state.canaries;
  const effects: ServiceLeaderEffect[] = [];
  for (const canary of state.canaries.values()) {
    if (canary.state === 'trial' && hasEarnedPromotion(canary, now)) {
      const promoted: Canary = { ...canary, state: 'good' };
      canaries = withEntry(canaries, canary.release, promoted);
      effects.push(canaryReport(state, promoted));
      continue;
    }
    const reservation = wantedReservation(state, canary);
    const isDue = reservation !== canary.reservedRequests || isReportDue(canary);
    const isReported =
      canary.reportedAt !== undefined && now - canary.reportedAt < reportRetryIntervalMs;
    if (!isDue || isReported) continue;
    canaries = withEntry(canaries, canary.release, {
      ...canary,
      reportedAt: now,
      reportedFailures: canary.failures,
    });
    effects.push(canaryReport(state, canary, reservation));
  }
  return transition(withCanaries(state, canaries), ...effects);
};
