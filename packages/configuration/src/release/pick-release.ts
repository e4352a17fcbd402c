/** Choice of the release for a request while a rollout of its service is in progress. */

import type { Release } from '@switchwheel/types';
import type { RolloutState } from '@switchwheel/transport';

/** Share of a class's requests that go to the canary release. */
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
 * Picks the release for a request among those with live origins: the preferred one, else the settled
 * one, else any but the target, else the target. A bad release never gets requests. `fraction` is a
 * random number in [0, 1). Without `isFresh` the state is too old for a canary, whose share may have
 * been withdrawn since.
 */
export const pickRelease = (
  state: RolloutState | undefined,
  liveReleases: ReadonlySet<Release>,
  className: string,
  fraction: number,
  isFresh = true,
): Release | undefined => {
  const anyRelease = [...liveReleases][0];
  if (state === undefined) return anyRelease;
  const preferred = preferredRelease(state, className, fraction, isFresh);
  if (preferred !== undefined && liveReleases.has(preferred)) return preferred;
  if (state.settled !== undefined && liveReleases.has(state.settled)) return state.settled;
  const otherRelease = [...liveReleases].find((release) => release !== state.target);
  if (otherRelease !== undefined) return otherRelease;
  return state.phase === 'bad' ? undefined : anyRelease;
};
