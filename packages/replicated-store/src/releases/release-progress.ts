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

/** How many origins of each release of a service stand. */
export const liveOriginsByRelease = (
  state: StoreState,
  service: ServiceName,
): ReadonlyMap<Release, number> => {
  const standing = new Map<Release, number>();
  for (const one of state.session.origins.values()) {
    if (one.service === service && one.state === 'up')
      standing.set(one.release, (standing.get(one.release) ?? 0) + 1);
  }
  return standing;
};

/** The release that most origins bear, other than one. */
export const mostCommonRelease = (
  liveOrigins: ReadonlyMap<Release, number>,
  except?: Release,
): Release | undefined =>
  [...liveOrigins]
    .filter(([release]) => release !== except)
    .sort(([one, many], [two, more]) => more - many || (one < two ? -1 : 1))[0]?.[0];

/** How much of an order's span is over, as far as this store knows. */
export const elapsedOf = (state: StoreState, order: ReleaseRollout, now: Timestamp): number => {
  const own = state.releaseWatches.get(order.service);
  return own?.order === order.order ? Math.max(order.spentMs, elapsedAt(own, now)) : order.spentMs;
};

/** Watches the orders that need it, from where the record says they are. */
const withReleaseWatches = (state: StoreState, now: Timestamp): StoreState => {
  let watches = state.releaseWatches;
  for (const [service, one] of state.control.releases) {
    if (one.target === undefined || watches.get(service)?.order === one.order) continue;
    watches = withEntry(watches, service, newRolloutWatch(one.order, one.spentMs, now));
  }
  const kept = filterEntries(watches, (_, service) => state.control.releases.has(service));
  return kept === state.releaseWatches ? state : { ...state, releaseWatches: kept };
};

/** Whether a change of a service's record is in its turn or being written already. */
const hasPendingChange = (state: StoreState, service: ServiceName): boolean =>
  state.commandQueue.some(
    (one) =>
      (one.kind === 'recordRelease' && one.record.service === service) ||
      (one.kind === 'requestRollout' && one.service === service),
  ) ||
  (state.primaryWrite?.puts.some((one) => one.key === `release/${service}`) ?? false);

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
  const told =
    next.phase === order.phase
      ? []
      : [
          log(
            'info',
            'an order of a release goes on',
            ['service', order.service],
            ['target', next.target ?? ''],
            ['phase', next.phase],
            ['spent', Math.round(next.spentMs)],
            ['why', next.text],
          ),
        ];
  return prependEffects(told, enqueue(state, { kind: 'recordRelease', record: next }));
};

/** Notes on which release each service stands that has no record yet. */
const recordSettledReleases = (state: StoreState): StoreTransition => {
  let next: StoreTransition = transition(state);
  const services = new Set(
    [...state.session.origins.values()]
      .filter((one) => one.state === 'up')
      .map((one) => one.service),
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

/** Lets time pass over the orders of releases. */
export const tickReleases = (state: StoreState, now: Timestamp): StoreTransition => {
  let next = recordSettledReleases(withReleaseWatches(state, now));
  for (const order of state.control.releases.values())
    next = prependEffects(next.effects, advanceRelease(next.state, order, now));
  return next;
};

/** An edge tells what it counts; a release that it shows to be bad is judged at once. */
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
