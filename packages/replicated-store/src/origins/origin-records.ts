/**
 * The record of the origins that are up, kept so that a fleet that lost all its processes need not wait until
 * each origin announces itself again.
 */

import { type InstanceId, type Timestamp, toDurationMs, transition } from '@switchwheel/types';
import type { OriginInstance, TableMutation } from '@switchwheel/transport';
import { controlKeys, deleteRecord, putRecord } from '@switchwheel/configuration';
import { type KnownOrigin, isLiveOrigin, originTimeoutMs } from '@switchwheel/membership';
import { enqueue } from '../commands/queue.js';
import type { StoreState } from '../state/state.js';
import type { StoreTransition } from '../state/transition.js';

const checkIntervalMs = 500;

/** After how long a primary takes one that it has never heard of for gone. */
const absentAfterMs = 12_000;

/** How long one that only a disk tells of may be used until it is heard itself. */
const provisionalMs = 2500;

const originRecord = ({
  service,
  instance,
  address,
  release,
  slots,
  area,
}: KnownOrigin): OriginInstance => ({
  service,
  instance,
  address,
  release,
  slots,
  state: 'up',
  age: toDurationMs(0),
  ...(area === undefined ? {} : { area }),
});

const isSameOrigin = (one: OriginInstance, two: OriginInstance): boolean =>
  one.service === two.service &&
  one.address === two.address &&
  one.release === two.release &&
  one.slots === two.slots &&
  one.area === two.area;

/** What the record of origins lacks, and what is in it that should not be. */
export const originPuts = (
  recorded: ReadonlyMap<InstanceId, OriginInstance>,
  announced: StoreState['session']['origins'],
  isAnnouncementComplete: boolean,
  now: Timestamp,
): readonly TableMutation[] => {
  const puts: TableMutation[] = [];
  for (const one of announced.values()) {
    const before = recorded.get(one.instance);
    if (isLiveOrigin(one, now)) {
      const after = originRecord(one);
      if (before === undefined || !isSameOrigin(before, after))
        puts.push(putRecord(controlKeys.origin(one.instance), after));
    } else if (before !== undefined) puts.push(deleteRecord(controlKeys.origin(one.instance)));
  }
  // A primary that has just begun may not have heard of all of them yet.
  if (isAnnouncementComplete)
    for (const instance of recorded.keys())
      if (!announced.has(instance)) puts.push(deleteRecord(controlKeys.origin(instance)));
  return puts;
};

/** Keeps a record of the origins that stand, so that a fleet that lost all its processes need not wait until each speaks. */
export const tickOrigins = (state: StoreState, now: Timestamp): StoreTransition => {
  const own = state.candidate.phase;
  if (
    !state.settings.persistsOrigins ||
    own.phase !== 'holdingLease' ||
    now - state.originsCheckedAt < checkIntervalMs
  )
    return transition(state);
  const next: StoreState = { ...state, originsCheckedAt: now };
  if (state.commandQueue.some((one) => one.kind === 'recordOrigins')) return transition(next);
  if (
    originPuts(state.control.origins, state.session.origins, now - own.wonAt > absentAfterMs, now)
      .length === 0
  )
    return transition(next);
  return enqueue(next, {
    kind: 'recordOrigins',
    isAnnouncementComplete: now - own.wonAt > absentAfterMs,
  });
};

/** The recorded origins as they are told from a disk: for a short time only, as they may be gone. */
export const storedOrigins = (state: StoreState): OriginInstance[] =>
  [...state.control.origins.values()].map((one) => ({
    ...one,
    age: toDurationMs(originTimeoutMs - provisionalMs),
  }));
