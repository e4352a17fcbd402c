import { type Timestamp, type Release, withEntry } from '@switchwheel/types';
import type { Verdict } from '@switchwheel/transport';
import type { Keeper, KeeperEffect, LegEnd, Trial } from './state.js';

/** Requests of a release on trial that are stored as spent before they are sent. */
const reserve = 20;
/** What a release on trial may have beside its share; the rule says fifty. */
const trialBase = 45;
/** The share of its service's traffic a release on trial may have; the rule says a tenth. */
const trialShare = 0.08;
const earnGood = 40;
const earnSpan = 3000;
const badMost = 25;
const askAgain = 500;

const newTrial = (
  release: Release,
  state: Trial['state'],
  from: number,
  now: Timestamp,
): Trial => ({
  release,
  granted: 0,
  used: 0,
  good: 0,
  bad: 0,
  strain: 0,
  base: 0,
  from,
  since: now,
  asked: undefined,
  told: 0,
  state,
  stored: false,
});

/** Takes the stored verdicts in: counts only grow, bad stays bad. */
export const takeVerdicts = (
  state: Keeper,
  verdicts: readonly Verdict[],
  now: Timestamp,
): Keeper => {
  let trials = state.trials;
  for (const word of verdicts) {
    if (word.service !== state.service) continue;
    const known = trials.get(word.release);
    if (known === undefined) {
      // What an earlier keeper reserved counts as used: some of it may not have been, none goes uncounted.
      trials = withEntry(trials, word.release, {
        ...newTrial(word.release, word.state, state.sent, now),
        granted: word.spent,
        used: word.spent,
        bad: word.bad,
        told: word.bad,
        good: word.good,
        base: word.seen,
        stored: true,
      });
      continue;
    }
    const next =
      known.state === 'bad' || word.state === 'bad'
        ? 'bad'
        : known.state === 'good' || word.state === 'good'
          ? 'good'
          : 'trial';
    const granted = Math.max(known.granted, word.spent);
    const asked = granted > known.granted ? undefined : known.asked;
    if (next !== known.state || granted !== known.granted || !known.stored)
      trials = withEntry(trials, word.release, {
        ...known,
        state: next,
        granted,
        asked,
        stored: true,
      });
  }
  return trials === state.trials ? state : { ...state, trials };
};

/** Makes sure each release present has a trial; the first one of a service stands without one. */
export const meetReleases = (
  state: Keeper,
  now: Timestamp,
): { readonly state: Keeper; readonly effects: readonly KeeperEffect[] } => {
  let trials = state.trials;
  const effects: KeeperEffect[] = [];
  for (const bay of state.bays.values()) {
    if (!bay.up || trials.has(bay.release)) continue;
    const first = ![...trials.values()].some((one) => one.state === 'good');
    trials = withEntry(
      trials,
      bay.release,
      newTrial(bay.release, first ? 'good' : 'trial', state.sent, now),
    );
    effects.push({
      kind: 'trial',
      service: state.service,
      release: bay.release,
      spent: 0,
      bad: 0,
      good: 0,
      seen: 0,
      state: first ? 'good' : 'trial',
    });
  }
  return { state: trials === state.trials ? state : { ...state, trials }, effects };
};

/** The service's traffic since the trial began, through all its keepers. */
const seenBy = (state: Keeper, trial: Trial): number => trial.base + state.sent - trial.from;

/** How many requests a release on trial may have had by now, as far as they are reserved. */
const due = (state: Keeper, trial: Trial): number => trialBase + trialShare * seenBy(state, trial);
const allowance = (state: Keeper, trial: Trial): number =>
  Math.min(trial.granted, Math.floor(due(state, trial)));

export const mayTry = (state: Keeper, release: Release): boolean => {
  const trial = state.trials.get(release);
  if (trial === undefined || trial.state === 'bad') return false;
  return trial.state === 'good' || trial.used < allowance(state, trial);
};

export const spend = (state: Keeper, release: Release): Keeper => {
  const trial = state.trials.get(release);
  return trial === undefined
    ? state
    : { ...state, trials: withEntry(state.trials, release, { ...trial, used: trial.used + 1 }) };
};

const told = (state: Keeper, trial: Trial, spent: number): KeeperEffect => ({
  kind: 'trial',
  service: state.service,
  release: trial.release,
  spent,
  bad: trial.bad,
  good: trial.good,
  seen: seenBy(state, trial),
  state: trial.state,
});

/** Each bad answer strains a release, each good one eases it: it goes up where more than one in eight is bad. */
const ease = 1 / 7;
const strainMost = 12;
const calm = 4;
const strained = (strain: number, bad: boolean): number =>
  bad ? strain + 1 : Math.max(0, strain - ease);

/** Whether a release that earned its traffic went bad, while one to go back to is there: the first one, or one that did not. */
const turnedBad = (state: Keeper, trial: Trial): boolean =>
  trial.strain >= strainMost &&
  [...state.trials.values()].some(
    (one) =>
      one.release !== trial.release &&
      one.state === 'good' &&
      (one.granted === 0 || one.strain < calm) &&
      [...state.bays.values()].some((bay) => bay.up && bay.release === one.release),
  );

/** Whether a release may have all its traffic: enough good answers, over some time. */
const earned = (trial: Trial, now: Timestamp): boolean =>
  trial.good >= earnGood &&
  trial.bad <= 0.05 * (trial.good + trial.bad) &&
  now - trial.since >= earnSpan;

/** Whether a release on trial answers too badly to go on. */
const isPoor = (trial: Trial): boolean =>
  trial.bad >= badMost || (trial.bad >= 8 && trial.bad > 0.2 * (trial.good + trial.bad));

/** The verdict that a release's answers call for now, if it is another one than it has. */
const verdictOf = (state: Keeper, trial: Trial, now: Timestamp): 'good' | 'bad' | undefined => {
  switch (trial.state) {
    case 'trial':
      return isPoor(trial) ? 'bad' : earned(trial, now) ? 'good' : undefined;
    case 'good':
      return trial.granted > 0 && turnedBad(state, trial) ? 'bad' : undefined;
    case 'bad':
      return undefined;
  }
};

/** Draws what became of a leg into the trial of its release. */
export const judgeTrial = (
  state: Keeper,
  release: Release,
  how: LegEnd,
  now: Timestamp,
): { readonly state: Keeper; readonly effects: readonly KeeperEffect[] } => {
  const trial = state.trials.get(release);
  if (trial === undefined || how.end === 'unrun' || how.end === 'unopened' || how.end === 'dropped')
    return { state, effects: [] };
  const bad = how.end !== 'good';
  const next: Trial = {
    ...trial,
    good: trial.good + (bad ? 0 : 1),
    bad: trial.bad + (bad ? 1 : 0),
    strain: strained(trial.strain, bad),
  };
  const verdict = verdictOf(state, next, now);
  const judged: Trial = verdict === undefined ? next : { ...next, state: verdict };
  return {
    state: { ...state, trials: withEntry(state.trials, release, judged) },
    effects: verdict === undefined ? [] : [told(state, judged, judged.granted)],
  };
};

/** Reserves more of a trial ahead, through the stored state, and repeats what was not yet confirmed. */
export const passTrials = (
  state: Keeper,
  now: Timestamp,
): { readonly state: Keeper; readonly effects: readonly KeeperEffect[] } => {
  let trials = state.trials;
  const effects: KeeperEffect[] = [];
  for (const trial of state.trials.values()) {
    if (trial.state === 'trial' && earned(trial, now)) {
      // It may have no answers left to earn it by: time alone was lacking.
      const judged: Trial = { ...trial, state: 'good' };
      trials = withEntry(trials, trial.release, judged);
      effects.push(told(state, judged, judged.granted));
      continue;
    }
    const wants =
      trial.state === 'trial' &&
      trial.used + reserve / 2 > trial.granted &&
      trial.used <= due(state, trial);
    // Bad answers are kept as they come, for the keepers after this one.
    const mute = !trial.stored || (trial.state === 'trial' && trial.bad > trial.told);
    if ((!wants && !mute) || (trial.asked !== undefined && now - trial.asked < askAgain)) continue;
    trials = withEntry(trials, trial.release, { ...trial, asked: now, told: trial.bad });
    effects.push(told(state, trial, wants ? trial.used + reserve : trial.granted));
  }
  return { state: trials === state.trials ? state : { ...state, trials }, effects };
};
