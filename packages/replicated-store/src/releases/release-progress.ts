/**
 * Progress of requests to move a service to a release: edges' counts are collected, and the record is advanced
 * by the rules of the configuration package.
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

/** How many origins of each release of a service are up. */
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

/** The release that most origins run, other than `except`; the lesser name if several have as many. */
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

/** How much of a rollout's time span is over, in milliseconds, as far as this store knows. */
export const elapsedOf = (state: StoreState, rollout: ReleaseRollout, now: Timestamp): number => {
  const watch = state.releaseWatches.get(rollout.service);
  return watch?.rolloutNumber === rollout.order
    ? Math.max(rollout.spentMs, elapsedAt(watch, now))
    : rollout.spentMs;
};

/** Watches the rollouts that need it, from where their records say they are. */
const withReleaseWatches = (state: StoreState, now: Timestamp): StoreState => {
  let watches = state.releaseWatches;
  for (const [service, rollout] of state.control.releases) {
    if (rollout.target === undefined || watches.get(service)?.rolloutNumber === rollout.order)
      continue;
    watches = withEntry(watches, service, newRolloutWatch(rollout.order, rollout.spentMs, now));
  }
  const kept = filterEntries(watches, (_, service) => state.control.releases.has(service));
  return kept === state.releaseWatches ? state : { ...state, releaseWatches: kept };
};

/** Whether a change of a service's record is queued or being written already. */
const hasPendingChange = (state: StoreState, service: ServiceName): boolean =>
  state.commandQueue.some(
    (command) =>
      (command.kind === 'recordRelease' && command.record.service === service) ||
      (command.kind === 'requestRollout' && command.service === service),
  ) ||
  (state.primaryWrite?.puts.some(({ key }) => key === `release/${service}`) ?? false);

const advanceRelease = (
  state: StoreState,
  order: ReleaseRollout,
  now: Timestamp,
): StoreTransition => {
  const own = state.releaseWatches.get(order.service);
  if (
    own === undefined ||
    !needsCounts(order, elapsedAt(own, now)) ||
    hasPendingChange(state, order.service)
  )
    return transition(state);
  const next = advanceReleaseRollout(
    order,
    own,
    liveOriginsByRelease(state, order.service),
    now,
    state.settings.releases ?? releaseSettings,
  );
  if (next === order) return transition(state);
  const logLines =
    next.phase === order.phase
      ? []
      : [
          log(
            'info',
            'release rollout advanced',
            ['service', order.service],
            ['target', next.target ?? ''],
            ['phase', next.phase],
            ['spent', Math.round(next.spentMs)],
            ['why', next.text],
          ),
        ];
  return prependEffects(logLines, enqueue(state, { kind: 'recordRelease', record: next }));
};

/** Records the release that each service runs of which there is no record yet. */
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

/** Advances the rollouts of releases, and records the releases of services that have no record yet. */
export const tickReleases = (state: StoreState, now: Timestamp): StoreTransition => {
  let next = recordSettledReleases(withReleaseWatches(state, now));
  for (const order of state.control.releases.values())
    next = prependEffects(next.effects, advanceRelease(next.state, order, now));
  return next;
};

/** An edge reports its counts; a release that they show to be bad is judged at once. */
export const onTally = (
  before: StoreState,
  tally: FrameOf<'tally'>,
  now: Timestamp,
): StoreTransition => {
  const state = withReleaseWatches(before, now);
  const own = state.releaseWatches.get(tally.service);
  const order = state.control.releases.get(tally.service);
  if (own === undefined || order === undefined) return transition(state);
  const next = {
    ...state,
    releaseWatches: withEntry(state.releaseWatches, tally.service, recordCounts(own, tally, now)),
  };
  return advanceRelease(next, order, now);
};
