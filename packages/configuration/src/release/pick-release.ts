/** Which release a request goes to while a rollout of its service is under way. */

import type { Release } from '@switchwheel/types';
import type { RolloutState } from '@switchwheel/transport';

/** The share of a class's requests that go to the release on its canary. */
export const canaryShareOf = (state: RolloutState, className: string): number =>
  state.shares.find((row) => row.group === className)?.share ?? state.share;

const preferredRelease = (
  state: RolloutState,
  className: string,
  fraction: number,
  isFresh: boolean,
): Release | undefined => {
  switch (state.phase) {
    case 'none':
    case 'bad':
      return state.settled;
    case 'trial':
      return isFresh && fraction < canaryShareOf(state, className) ? state.target : state.settled;
    case 'moving':
    case 'good':
      return state.target;
  }
};

/**
 * The release for the next request, of those that have live origins: the preferred one, else the
 * settled one, else any that is not on its canary, else the one on its canary. Nothing goes to a bad
 * one. `fraction` is a random number from 0 up to 1; `isFresh` tells whether the state is new enough
 * for a canary, as an old share may have been withdrawn long ago.
 */
export const pickRelease = (
  state: RolloutState | undefined,
  liveReleases: ReadonlySet<Release>,
  className: string,
  fraction: number,
  isFresh = true,
): Release | undefined => {
  const first = [...liveReleases][0];
  if (state === undefined) return first;
  const preferred = preferredRelease(state, className, fraction, isFresh);
  if (preferred !== undefined && liveReleases.has(preferred)) return preferred;
  if (state.settled !== undefined && liveReleases.has(state.settled)) return state.settled;
  const other = [...liveReleases].find((release) => release !== state.target);
  if (other !== undefined) return other;
  return state.phase === 'bad' ? undefined : first;
};
