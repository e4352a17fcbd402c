/**
 * Canary releases: a new release gets a small share of its service's traffic until it has earned
 * the whole of it; one that answers badly gets none. The requests that it may have are reserved in
 * the store before they are sent, so that a change of the leader does not grant them twice.
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

/** How many requests of a canary are reserved ahead at a time. */
const reservationBatchSize = 20;
/** What a canary may have beside its share; the rule (R10) allows 50. */
const canaryBaseRequests = 45;
/** The share of its service's traffic that a canary may have; the rule (R10) allows a tenth. */
const canaryTrafficShare = 0.08;
/** What a canary needs to get all its traffic: so many successes, over so long, with few failures. */
const promotionSuccesses = 40;
const promotionMinMs = 3000;
const maxPromotionFailureShare = 0.05;
/** When a canary is rejected: so many failures, or a smaller number that is a large share. */
const maxCanaryFailures = 25;
const minFailuresToReject = 8;
const maxCanaryFailureShare = 0.2;
/** After how long a report that the store has not confirmed is repeated. */
const reportRetryIntervalMs = 500;
/** What a success takes off the failure score: it grows where more than one answer in eight fails. */
const failureScoreDecay = 1 / 7;
const maxFailureScore = 12;
const maxFallbackFailureScore = 4;

interface NewCanary {
  readonly release: Release;
  readonly state: Canary['state'];
  /** The leader's count of requests when the canary began. */
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

/** A canary as the store has it; what an earlier leader reserved counts as used, as it may be. */
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

/** A canary with what the store has of it: counts only grow, and a rejection is final. */
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

/** Takes the stored canary results of this service in. */
export const applyCanaryResults = (
  state: ServiceLeader,
  results: readonly CanaryResult[],
  now: Timestamp,
): ServiceLeader => {
  let canaries = state.canaries;
  for (const stored of results) {
    if (stored.service !== state.service) continue;
    const known = canaries.get(stored.release);
    const next =
      known === undefined ? canaryFromStore(state, stored, now) : mergeStored(known, stored);
    if (next !== known) canaries = withEntry(canaries, stored.release, next);
  }
  return withCanaries(state, canaries);
};

/** Begins a canary for each new release; the first release of a service needs none to pass. */
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

/** The service's requests since the canary began, through all its leaders. */
const trafficSinceStart = (state: ServiceLeader, canary: Canary): number =>
  canary.priorTraffic + state.requestCount - canary.requestCountAtStart;

/** How many requests a canary may have had by now. */
const trafficBudget = (state: ServiceLeader, canary: Canary): number =>
  canaryBaseRequests + canaryTrafficShare * trafficSinceStart(state, canary);

/** The same, as far as they are reserved in the store. */
const allowance = (state: ServiceLeader, canary: Canary): number =>
  Math.min(canary.reservedRequests, Math.floor(trafficBudget(state, canary)));

/** Whether a release may get one more request. */
export const mayReceiveTraffic = (state: ServiceLeader, release: Release): boolean => {
  const canary = state.canaries.get(release);
  if (canary === undefined || canary.state === 'bad') return false;
  return canary.state === 'good' || canary.usedRequests < allowance(state, canary);
};

/** Counts a request that is sent to a release. */
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

/** Whether a release can be gone back to: the first one, or one that has few failures of late. */
const isFallback = (state: ServiceLeader, canary: Canary): boolean =>
  canary.state === 'good' &&
  (canary.reservedRequests === 0 || canary.failureScore < maxFallbackFailureScore) &&
  [...state.endpoints.values()].some(
    (endpoint) => endpoint.isLive && endpoint.release === canary.release,
  );

/** Whether a promoted release went bad while there is one to go back to. */
const hasRegressed = (state: ServiceLeader, canary: Canary): boolean =>
  canary.failureScore >= maxFailureScore &&
  [...state.canaries.values()].some(
    (other) => other.release !== canary.release && isFallback(state, other),
  );

/** Whether a canary may have all its traffic: enough successes, over some time. */
const hasEarnedPromotion = (canary: Canary, now: Timestamp): boolean =>
  canary.successes >= promotionSuccesses &&
  canary.failures <= maxPromotionFailureShare * (canary.successes + canary.failures) &&
  now - canary.startedAt >= promotionMinMs;

/** Whether a canary answers too badly to go on. */
const isFailing = (canary: Canary): boolean =>
  canary.failures >= maxCanaryFailures ||
  (canary.failures >= minFailuresToReject &&
    canary.failures > maxCanaryFailureShare * (canary.successes + canary.failures));

/** The state that a canary's outcomes call for now, if it is another one than it has. */
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

/** Draws the outcome of an attempt into the canary of its release. */
export const recordCanaryOutcome = (
  state: ServiceLeader,
  release: Release,
  outcome: AttemptOutcome,
  now: Timestamp,
): LeaderTransition => {
  const known = state.canaries.get(release);
  const { kind } = outcome;
  if (known === undefined || kind === 'notRun' || kind === 'notSent' || kind === 'cancelled')
    return transition(state);
  const counted = withOutcome(known, kind !== 'succeeded');
  const decision = canaryDecision(state, counted, now);
  const canary = decision === undefined ? counted : { ...counted, state: decision };
  const next = { ...state, canaries: withEntry(state.canaries, release, canary) };
  return decision === undefined ? transition(next) : transition(next, canaryReport(state, canary));
};

/** How many requests should be reserved for a canary now: some ahead of what it has used. */
const wantedReservation = (state: ServiceLeader, canary: Canary): number =>
  canary.state === 'trial' &&
  canary.usedRequests + reservationBatchSize / 2 > canary.reservedRequests &&
  canary.usedRequests <= trafficBudget(state, canary)
    ? canary.usedRequests + reservationBatchSize
    : canary.reservedRequests;

/** Whether the store lacks the canary, or failures of it that later leaders should know. */
const isReportDue = (canary: Canary): boolean =>
  !canary.isStored || (canary.state === 'trial' && canary.failures > canary.reportedFailures);

/**
 * Promotes canaries that lacked only time, reserves more requests ahead through the store, and
 * repeats what the store has not confirmed.
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
