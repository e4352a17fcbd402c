import type { Release } from '@switchwheel/types';
import type { RolloutState } from '@switchwheel/transport';

/** The share of a class's requests that go to the release on trial. */
export const canaryShareOf = (state: RolloutState, group: string): number =>
  state.shares.find((one) => one.group === group)?.share ?? state.share;

const preferredRelease = (
  state: RolloutState,
  group: string,
  chance: number,
  fresh: boolean,
): Release | undefined => {
  switch (state.phase) {
    case 'none':
    case 'bad':
      return state.settled;
    case 'trial':
      return fresh && chance < canaryShareOf(state, group) ? state.target : state.settled;
    case 'moving':
    case 'good':
      return state.target;
  }
};

/**
 * The release for the next request, of those that have standing origins: the wanted one, else the settled one, else any
 * that is not on trial, else the one on trial. Nothing goes to a bad one. `chance` is a throw of the dice; `fresh` tells
 * whether the word of the primary is new enough for a trial: an old share may be one that was long withdrawn.
 */
export const pickRelease = (
  state: RolloutState | undefined,
  standing: ReadonlySet<Release>,
  group: string,
  chance: number,
  fresh = true,
): Release | undefined => {
  const first = [...standing][0];
  if (state === undefined) return first;
  const want = preferredRelease(state, group, chance, fresh);
  if (want !== undefined && standing.has(want)) return want;
  if (state.settled !== undefined && standing.has(state.settled)) return state.settled;
  const other = [...standing].find((one) => one !== state.target);
  if (other !== undefined) return other;
  return state.phase === 'bad' ? undefined : first;
};
