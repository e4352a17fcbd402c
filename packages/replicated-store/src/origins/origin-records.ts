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

/** How often the record is compared with what origins announce. */
const checkIntervalMs = 500;

/** How long after its election a primary takes a recorded origin that it has not heard for gone. */
const absentAfterMs = 12_000;

/** How long an origin that is only known from a disk may be used until it is heard itself. */
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

const isSameOrigin = (first: OriginInstance, second: OriginInstance): boolean =>
  first.service === second.service &&
  first.address === second.address &&
  first.release === second.release &&
  first.slots === second.slots &&
  first.area === second.area;

/** The changes that make the record equal the origins that are up. */
export const originPuts = (
  recorded: ReadonlyMap<InstanceId, OriginInstance>,
  announced: StoreState['session']['origins'],
  isAnnouncementComplete: boolean,
  now: Timestamp,
): readonly TableMutation[] => {
  const puts: TableMutation[] = [];
  for (const origin of announced.values()) {
    const before = recorded.get(origin.instance);
    if (isLiveOrigin(origin, now)) {
      const after = originRecord(origin);
      if (before === undefined || !isSameOrigin(before, after))
        puts.push(putRecord(controlKeys.origin(origin.instance), after));
    } else if (before !== undefined) puts.push(deleteRecord(controlKeys.origin(origin.instance)));
  }
  // A primary that has just begun may not have heard of all of them yet.
  if (isAnnouncementComplete)
    for (const instance of recorded.keys())
      if (!announced.has(instance)) puts.push(deleteRecord(controlKeys.origin(instance)));
  return puts;
};

/** Queues a change of the record if it differs from the origins that are up. */
export const tickOrigins = (state: StoreState, now: Timestamp): StoreTransition => {
  const own = state.candidate.phase;
  if (
    !state.settings.persistsOrigins ||
    own.phase !== 'holdingLease' ||
    now - state.originsCheckedAt < checkIntervalMs
  )
    return transition(state);
  const next: StoreState = { ...state, originsCheckedAt: now };
  if (state.commandQueue.some(({ kind }) => kind === 'recordOrigins')) return transition(next);
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

/** The recorded origins as a hint bears them: for a short time only, as they may be gone. */
export const storedOrigins = (state: StoreState): OriginInstance[] =>
  [...state.control.origins.values()].map((origin) => ({
    ...origin,
    age: toDurationMs(originTimeoutMs - provisionalMs),
  }));
