import {
  type InstanceId,
  type Timestamp,
  type Transition,
  transition,
  toDurationMs,
} from '@switchwheel/types';
import type { Origin, Put } from '@switchwheel/transport';
import { type Seen, silentSpan, standing } from '@switchwheel/membership';
import { erase, keyOf, write } from '@switchwheel/configuration';
import { enqueue } from '../command/queue.js';
import type { StoreEffect } from '../state/event.js';
import type { Store } from '../state/state.js';

type Done = Transition<Store, StoreEffect>;
const checkInterval = 500;
/** After how long a primary takes one that it has never heard of for gone. */
const absentAfter = 12_000;
/** How long one that only a disk tells of may be used until it is heard itself. */
const provisionalTime = 2500;

const stored = ({ service, instance, address, release, slots, area }: Seen): Origin => ({
  service,
  instance,
  address,
  release,
  slots,
  state: 'up',
  age: toDurationMs(0),
  ...(area === undefined ? {} : { area }),
});

const same = (one: Origin, two: Origin): boolean =>
  one.service === two.service &&
  one.address === two.address &&
  one.release === two.release &&
  one.slots === two.slots &&
  one.area === two.area;

/** What the record of origins lacks, and what is in it that should not be. */
export const originPuts = (
  known: ReadonlyMap<InstanceId, Origin>,
  heard: Store['session']['origins'],
  sure: boolean,
  now: Timestamp,
): readonly Put[] => {
  const puts: Put[] = [];
  for (const one of heard.values()) {
    const before = known.get(one.instance);
    if (standing(one, now)) {
      const after = stored(one);
      if (before === undefined || !same(before, after))
        puts.push(write(keyOf.origin(one.instance), after));
    } else if (before !== undefined) puts.push(erase(keyOf.origin(one.instance)));
  }
  // A primary that has just begun may not have heard of all of them yet.
  if (sure)
    for (const instance of known.keys())
      if (!heard.has(instance)) puts.push(erase(keyOf.origin(instance)));
  return puts;
};

/** Keeps a record of the origins that stand, so that a fleet that lost all its processes need not wait until each speaks. */
export const tickOrigins = (state: Store, now: Timestamp): Done => {
  const own = state.candidate.phase;
  if (
    !state.settings.origins ||
    own.phase !== 'holdingLease' ||
    now - state.originsCheckedAt < checkInterval
  )
    return transition(state);
  const next: Store = { ...state, originsCheckedAt: now };
  if (state.commandQueue.some((one) => one.kind === 'origins')) return transition(next);
  if (
    originPuts(state.control.origins, state.session.origins, now - own.won > absentAfter, now)
      .length === 0
  )
    return transition(next);
  return enqueue(next, { kind: 'origins', sure: now - own.won > absentAfter });
};

/** The recorded origins as they are told from a disk: for a short time only, as they may be gone. */
export const storedOrigins = (state: Store): Origin[] =>
  [...state.control.origins.values()].map((one) => ({
    ...one,
    age: toDurationMs(silentSpan - provisionalTime),
  }));
