import {
  type Timestamp,
  type Release,
  type ServiceName,
  type Transition,
  prependEffects,
  withEntry,
  filterEntries,
  transition,
} from '@switchwheel/types';
import { type FrameOf, log } from '@switchwheel/transport';
import {
  type ReleaseOrder,
  advance,
  counts,
  releaseSettings,
  settledOn,
  spentAt,
  takeTally,
  watch,
} from '@switchwheel/configuration';
import { enqueue } from '../command/queue.js';
import type { StoreEffect } from '../state/event.js';
import type { Store } from '../state/state.js';

type Done = Transition<Store, StoreEffect>;

/** How many origins of each release of a service stand. */
export const standingOf = (state: Store, service: ServiceName): ReadonlyMap<Release, number> => {
  const standing = new Map<Release, number>();
  for (const one of state.session.origins.values()) {
    if (one.service === service && one.state === 'up')
      standing.set(one.release, (standing.get(one.release) ?? 0) + 1);
  }
  return standing;
};

/** The release that most origins bear, other than one. */
export const mostStanding = (
  standing: ReadonlyMap<Release, number>,
  except?: Release,
): Release | undefined =>
  [...standing]
    .filter(([release]) => release !== except)
    .sort(([one, many], [two, more]) => more - many || (one < two ? -1 : 1))[0]?.[0];

/** How much of an order's span is over, as far as this store knows. */
export const spentOf = (state: Store, order: ReleaseOrder, now: Timestamp): number => {
  const own = state.watches.get(order.service);
  return own?.order === order.order ? Math.max(order.spentMs, spentAt(own, now)) : order.spentMs;
};

/** Watches the orders that need it, from where the record says they are. */
const watched = (state: Store, now: Timestamp): Store => {
  let watches = state.watches;
  for (const [service, one] of state.control.releases) {
    if (one.target === undefined || watches.get(service)?.order === one.order) continue;
    watches = withEntry(watches, service, watch(one.order, one.spentMs, now));
  }
  const kept = filterEntries(watches, (_, service) => state.control.releases.has(service));
  return kept === state.watches ? state : { ...state, watches: kept };
};

/** Whether a change of a service's record is in its turn or being written already. */
const waits = (state: Store, service: ServiceName): boolean =>
  state.commandQueue.some(
    (one) =>
      (one.kind === 'release' && one.next.service === service) ||
      (one.kind === 'order' && one.service === service),
  ) ||
  (state.primaryWrite?.puts.some((one) => one.key === `release/${service}`) ?? false);

const pass = (state: Store, order: ReleaseOrder, now: Timestamp): Done => {
  const own = state.watches.get(order.service);
  if (own === undefined || !counts(order, spentAt(own, now)) || waits(state, order.service))
    return transition(state);
  const next = advance(
    order,
    own,
    standingOf(state, order.service),
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
  return prependEffects(told, enqueue(state, { kind: 'release', next }));
};

/** Notes on which release each service stands that has no record yet. */
const settleNew = (state: Store): Done => {
  let next: Done = transition(state);
  const services = new Set(
    [...state.session.origins.values()]
      .filter((one) => one.state === 'up')
      .map((one) => one.service),
  );
  for (const service of services) {
    if (state.control.releases.has(service) || waits(next.state, service)) continue;
    const settled = mostStanding(standingOf(state, service));
    if (settled !== undefined)
      next = prependEffects(
        next.effects,
        enqueue(next.state, { kind: 'release', next: settledOn(service, settled) }),
      );
  }
  return next;
};

/** Lets time pass over the orders of releases. */
export const tickReleases = (state: Store, now: Timestamp): Done => {
  let next = settleNew(watched(state, now));
  for (const order of state.control.releases.values())
    next = prependEffects(next.effects, pass(next.state, order, now));
  return next;
};

/** An edge tells what it counts; a release that it shows to be bad is judged at once. */
export const onTally = (before: Store, word: FrameOf<'tally'>, now: Timestamp): Done => {
  const state = watched(before, now);
  const own = state.watches.get(word.service);
  const order = state.control.releases.get(word.service);
  if (own === undefined || order === undefined) return transition(state);
  const next = {
    ...state,
    watches: withEntry(state.watches, word.service, takeTally(own, word, now)),
  };
  return pass(next, order, now);
};
