import { type Timestamp, type Release, withEntry } from '@switchwheel/types';
import type { CanaryResult } from '@switchwheel/transport';
import type { ServiceLeader, ServiceLeaderEffect, AttemptOutcome, Canary } from './state.js';

/** Requests of a release on trial that are stored as spent before they are sent. */
const reservationSize = 20;
/** What a release on trial may have beside its share; the rule says fifty. */
const canaryBaseRequests = 45;
/** The share of its service's traffic a release on trial may have; the rule says a tenth. */
const canaryTrafficShare = 0.08;
const promotionSuccesses = 40;
const promotionMinMs = 3000;
const maxCanaryFailures = 25;
const reportRetryMs = 500;

const newCanary = (
  release: Release,
  state: Canary['state'],
  from: number,
  now: Timestamp,
): Canary => ({
  release,
  reservedRequests: 0,
  usedRequests: 0,
  successes: 0,
  failures: 0,
  failureScore: 0,
  priorTraffic: 0,
  requestCountAtStart: from,
  startedAt: now,
  reportedAt: undefined,
  reportedFailures: 0,
  state,
  isStored: false,
});

/** Takes the stored verdicts in: counts only grow, bad stays bad. */
export const applyCanaryResults = (
  state: ServiceLeader,
  verdicts: readonly CanaryResult[],
  now: Timestamp,
): ServiceLeader => {
  let trials = state.canaries;
  for (const word of verdicts) {
    if (word.service !== state.service) continue;
    const known = trials.get(word.release);
    if (known === undefined) {
      // What an earlier keeper reserved counts as used: some of it may not have been, none goes uncounted.
      trials = withEntry(trials, word.release, {
        ...newCanary(word.release, word.state, state.requestCount, now),
        reservedRequests: word.spent,
        usedRequests: word.spent,
        failures: word.bad,
        reportedFailures: word.bad,
        successes: word.good,
        priorTraffic: word.seen,
        isStored: true,
      });
      continue;
    }
    const next =
      known.state === 'bad' || word.state === 'bad'
        ? 'bad'
        : known.state === 'good' || word.state === 'good'
          ? 'good'
          : 'trial';
    const granted = Math.max(known.reservedRequests, word.spent);
    const asked = granted > known.reservedRequests ? undefined : known.reportedAt;
    if (next !== known.state || granted !== known.reservedRequests || !known.isStored)
      trials = withEntry(trials, word.release, {
        ...known,
        state: next,
        reservedRequests: granted,
        reportedAt: asked,
        isStored: true,
      });
  }
  return trials === state.canaries ? state : { ...state, canaries: trials };
};

/** Makes sure each release present has a trial; the first one of a service stands without one. */
export const startCanaries = (
  state: ServiceLeader,
  now: Timestamp,
): { readonly state: ServiceLeader; readonly effects: readonly ServiceLeaderEffect[] } => {
  let trials = state.canaries;
  const effects: ServiceLeaderEffect[] = [];
  for (const bay of state.endpoints.values()) {
    if (!bay.isLive || trials.has(bay.release)) continue;
    const first = ![...trials.values()].some((one) => one.state === 'good');
    trials = withEntry(
      trials,
      bay.release,
      newCanary(bay.release, first ? 'good' : 'trial', state.requestCount, now),
    );
    effects.push({
      kind: 'reportCanary',
      service: state.service,
      release: bay.release,
      reservedRequests: 0,
      failures: 0,
      successes: 0,
      traffic: 0,
      state: first ? 'good' : 'trial',
    });
  }
  return { state: trials === state.canaries ? state : { ...state, canaries: trials }, effects };
};

/** The service's traffic since the trial began, through all its keepers. */
const trafficSinceStart = (state: ServiceLeader, trial: Canary): number =>
  trial.priorTraffic + state.requestCount - trial.requestCountAtStart;

/** How many requests a release on trial may have had by now, as far as they are reserved. */
const trafficBudget = (state: ServiceLeader, trial: Canary): number =>
  canaryBaseRequests + canaryTrafficShare * trafficSinceStart(state, trial);
const allowance = (state: ServiceLeader, trial: Canary): number =>
  Math.min(trial.reservedRequests, Math.floor(trafficBudget(state, trial)));

export const mayReceiveTraffic = (state: ServiceLeader, release: Release): boolean => {
  const trial = state.canaries.get(release);
  if (trial === undefined || trial.state === 'bad') return false;
  return trial.state === 'good' || trial.usedRequests < allowance(state, trial);
};

export const countCanaryRequest = (state: ServiceLeader, release: Release): ServiceLeader => {
  const trial = state.canaries.get(release);
  return trial === undefined
    ? state
    : {
        ...state,
        canaries: withEntry(state.canaries, release, {
          ...trial,
          usedRequests: trial.usedRequests + 1,
        }),
      };
};

const canaryReport = (state: ServiceLeader, trial: Canary, spent: number): ServiceLeaderEffect => ({
  kind: 'reportCanary',
  service: state.service,
  release: trial.release,
  reservedRequests: spent,
  failures: trial.failures,
  successes: trial.successes,
  traffic: trafficSinceStart(state, trial),
  state: trial.state,
});

/** Each bad answer strains a release, each good one eases it: it goes up where more than one in eight is bad. */
const failureScoreDecay = 1 / 7;
const maxFailureScore = 12;
const calmFailureScore = 4;
const nextFailureScore = (strain: number, bad: boolean): number =>
  bad ? strain + 1 : Math.max(0, strain - failureScoreDecay);

/** Whether a release that earned its traffic went bad, while one to go back to is there: the first one, or one that did not. */
const hasRegressed = (state: ServiceLeader, trial: Canary): boolean =>
  trial.failureScore >= maxFailureScore &&
  [...state.canaries.values()].some(
    (one) =>
      one.release !== trial.release &&
      one.state === 'good' &&
      (one.reservedRequests === 0 || one.failureScore < calmFailureScore) &&
      [...state.endpoints.values()].some((bay) => bay.isLive && bay.release === one.release),
  );

/** Whether a release may have all its traffic: enough good answers, over some time. */
const hasEarnedPromotion = (trial: Canary, now: Timestamp): boolean =>
  trial.successes >= promotionSuccesses &&
  trial.failures <= 0.05 * (trial.successes + trial.failures) &&
  now - trial.startedAt >= promotionMinMs;

/** Whether a release on trial answers too badly to go on. */
const isFailing = (trial: Canary): boolean =>
  trial.failures >= maxCanaryFailures ||
  (trial.failures >= 8 && trial.failures > 0.2 * (trial.successes + trial.failures));

/** The verdict that a release's answers call for now, if it is another one than it has. */
const canaryDecision = (
  state: ServiceLeader,
  trial: Canary,
  now: Timestamp,
): 'good' | 'bad' | undefined => {
  switch (trial.state) {
    case 'trial':
      return isFailing(trial) ? 'bad' : hasEarnedPromotion(trial, now) ? 'good' : undefined;
    case 'good':
      return trial.reservedRequests > 0 && hasRegressed(state, trial) ? 'bad' : undefined;
    case 'bad':
      return undefined;
  }
};

/** Draws what became of a leg into the trial of its release. */
export const recordCanaryOutcome = (
  state: ServiceLeader,
  release: Release,
  how: AttemptOutcome,
  now: Timestamp,
): { readonly state: ServiceLeader; readonly effects: readonly ServiceLeaderEffect[] } => {
  const trial = state.canaries.get(release);
  if (
    trial === undefined ||
    how.kind === 'unrun' ||
    how.kind === 'unopened' ||
    how.kind === 'dropped'
  )
    return { state, effects: [] };
  const bad = how.kind !== 'good';
  const next: Canary = {
    ...trial,
    successes: trial.successes + (bad ? 0 : 1),
    failures: trial.failures + (bad ? 1 : 0),
    failureScore: nextFailureScore(trial.failureScore, bad),
  };
  const verdict = canaryDecision(state, next, now);
  const judged: Canary = verdict === undefined ? next : { ...next, state: verdict };
  return {
    state: { ...state, canaries: withEntry(state.canaries, release, judged) },
    effects: verdict === undefined ? [] : [canaryReport(state, judged, judged.reservedRequests)],
  };
};

/** Reserves more of a trial ahead, through the stored state, and repeats what was not yet confirmed. */
export const advanceCanaries = (
  state: ServiceLeader,
  now: Timestamp,
): { readonly state: ServiceLeader; readonly effects: readonly ServiceLeaderEffect[] } => {
  let trials = state.canaries;
  const effects: ServiceLeaderEffect[] = [];
  for (const trial of state.canaries.values()) {
    if (trial.state === 'trial' && hasEarnedPromotion(trial, now)) {
      // It may have no answers left to earn it by: time alone was lacking.
      const judged: Canary = { ...trial, state: 'good' };
      trials = withEntry(trials, trial.release, judged);
      effects.push(canaryReport(state, judged, judged.reservedRequests));
      continue;
    }
    const wants =
      trial.state === 'trial' &&
      trial.usedRequests + reservationSize / 2 > trial.reservedRequests &&
      trial.usedRequests <= trafficBudget(state, trial);
    // Bad answers are kept as they come, for the keepers after this one.
    const mute =
      !trial.isStored || (trial.state === 'trial' && trial.failures > trial.reportedFailures);
    if (
      (!wants && !mute) ||
      (trial.reportedAt !== undefined && now - trial.reportedAt < reportRetryMs)
    )
      continue;
    trials = withEntry(trials, trial.release, {
      ...trial,
      reportedAt: now,
      reportedFailures: trial.failures,
    });
    effects.push(
      canaryReport(
        state,
        trial,
        wants ? trial.usedRequests + reservationSize : trial.reservedRequests,
      ),
    );
  }
  return { state: trials === state.canaries ? state : { ...state, canaries: trials }, effects };
};
