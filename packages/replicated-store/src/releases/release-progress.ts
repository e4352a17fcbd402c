/**
 * Progress of release rollouts: collects the request counts of edges and advances each rollout's record by the rules of
 * the configuration package.
 */

import {
  type Release,
  type ServiceName,
  type Timestamp,
  filterEntries,
  prependEffects,
  transition,
  withEntry,
} from '@switchwheel/types';
import { type FrameOf, log } from '@switchwheel/transport';
import {
  type ReleaseRollout,
  advanceReleaseRollout,
  elapsedAt,
  needsCounts,
  newRolloutWatch,
  recordCounts,
  releaseSettings,
  settledRollout,
} from '@switchwheel/configuration';
import { enqueue } from '../commands/queue.js';
import type { StoreState } from '../state/state.js';
import type { StoreTransition } from '../state/transition.js';

/** Number of live origins of a service, by release. */
export const liveOriginsByRelease = (
  state: StoreState,
  service: ServiceName,
): ReadonlyMap<Release, number> => {
  const counts = new Map<Release, number>();
  for (const origin of state.session.origins.values()) {
    if (origin.service === service && origin.state === 'up')
      counts.set(origin.release, (counts.get(origin.release) ?? 0) + 1);
  }
  return counts;
};

/** Release that most origins run, other than `except`; on a tie the one that sorts first. */
export const mostCommonRelease = (
  liveOrigins: ReadonlyMap<Release, number>,
  except?: Release,
): Release | undefined =>
  [...liveOrigins]
    .filter(([release]) => release !== except)
    .sort(
      ([release, count], [otherRelease, otherCount]) =>
        otherCount - count || (release < otherRelease ? -1 : 1),
    )[0]?.[0];

/** Elapsed time of a rollout in milliseconds, by its record and this store's own observation. */
export const rolloutElapsedMs = (
  state: StoreState,
  rollout: ReleaseRollout,
  now: Timestamp,
): number => {
  const watch = state.releaseWatches.get(rollout.service);
  return watch?.rolloutNumber === rollout.order
    ? Math.max(rollout.spentMs, elapsedAt(watch, now))
    : rollout.spentMs;
};

/** Starts watching rollouts at their recorded progress, and drops the watches of services without a record. */
const withReleaseWatches = (state: StoreState, now: Timestamp): StoreState => {
  let watches = state.releaseWatches;
  for (const [service, rollout] of state.control.releases) {
    if (rollout.target === undefined || watches.get(service)?.rolloutNumber === rollout.order)
      continue;
    watches = withEntry(watches, service, newRolloutWatch(rollout.order, rollout.spentMs, now));
  }
  const recordedWatches = filterEntries(watches, (_, service) =>
    state.control.releases.has(service),
  );
  return recordedWatches === state.releaseWatches
    ? state
    : { ...state, releaseWatches: recordedWatches };
};

/** Whether a change of a service's rollout record is queued or being written. */
const hasPendingChange = (state: StoreState, service: ServiceName): boolean =>
  state.commandQueue.some(
    (command) =>
      (command.kind === 'recordRelease' && command.record.service === service) ||
      (command.kind === 'requestRollout' && command.service === service),
  ) ||
  (state.primaryWrite?.puts.some(({ key }) => key === `release/${service}`) ?? false);

const advanceRelease = (
  state: StoreState,
  rollout: ReleaseRollout,
  now: Timestamp,
): StoreTransition => {
  const watch = state.releaseWatches.get(rollout.service);
  if (
    watch === undefined ||
    !needsCounts(rollout, elapsedAt(watch, now)) ||
    hasPendingChange(state, rollout.service)
  )
    return transition(state);
  const advanced = advanceReleaseRollout(
    rollout,
    watch,
    liveOriginsByRelease(state, rollout.service),
    now,
    state.settings.releases ?? releaseSettings,
  );
  if (advanced === rollout) return transition(state);
  const logLines =
    advanced.phase === rollout.phase
      ? []
      : [
          log(
            'info',
            'release rollout advanced',
            ['service', rollout.service],
            ['target', advanced.target ?? ''],
            ['phase', advanced.phase],
            ['spent', Math.round(advanced.spentMs)],
            ['why', advanced.text],
          ),
        ];
  return prependEffects(logLines, enqueue(state, { kind: 'recordRelease', record: advanced }));
};

/** Records the current release of each service that has no record yet. */
const recordSettledReleases = (state: StoreState): StoreTransition => {
  let next: StoreTransition = transition(state);
  const services = new Set(
    [...state.session.origins.values()]
      .filter((origin) => origin.state === 'up')
      .map((origin) => origin.service),
  );
  for (const service of services) {
    if (state.control.releases.has(service) || hasPendingChange(next.state, service)) continue;
    const settled = mostCommonRelease(liveOriginsByRelease(state, service));
    if (settled !== undefined)
      next = prependEffects(
        next.effects,
        enqueue(next.state, { kind: 'recordRelease', record: settledRollout(service, settled) }),
      );
  }
  return next;
};

/** Advances release rollouts, and records the current release of services without a record. */
export const tickReleases = (state: StoreState, now: Timestamp): StoreTransition => {
  let next = recordSettledReleases(withReleaseWatches(state, now));
  for (const rollout of state.control.releases.values())
    next = prependEffects(next.effects, advanceRelease(next.state, rollout, now));
  return next;
};

/** Handles an edge's request counts and advances the rollout at once, so that a bad release is detected early. */
export const onTally = (
  before: StoreState,
  tally: FrameOf<'tally'>,
  now: Timestamp,
): StoreTransition => {
  const state = withReleaseWatches(before, now);
  const watch = state.releaseWatches.get(tally.service);
  const rollout = state.control.releases.get(tally.service);
  if (watch === undefined || rollout === undefined) return transition(state);
  const next = {
    ...state,
    releaseWatches: withEntry(state.releaseWatches, tally.service, recordCounts(watch, tally, now)),
  };
  return advanceRelease(next, rollout, now);
};
