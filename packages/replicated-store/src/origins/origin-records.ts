/**
 * Records of live origins, stored so that a fleet that restarts as a whole need not wait for every origin to announce
 * itself again.
 */

import { type InstanceId, type Timestamp, toDurationMs, transition } from '@switchwheel/types';
import type { OriginInstance, TableMutation } from '@switchwheel/transport';
import { controlKeys, deleteRecord, putRecord } from '@switchwheel/configuration';
import { type KnownOrigin, isLiveOrigin, originTimeoutMs } from '@switchwheel/membership';
import { enqueue } from '../commands/queue.js';
import type { StoreState } from '../state/state.js';
import type { StoreTransition } from '../state/transition.js';

/** Interval at which the records are compared with the announced origins. */
const checkIntervalMs = 500;

/** Time after its election after which a primary deletes recorded origins that were not announced. */
const absentAfterMs = 12_000;

/** Time for which an origin known only from a record may be used before it announces itself. */
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

/** Table mutations that bring the records in line with the live origins. */
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
  // A new primary may not have received all announcements yet.
  if (isAnnouncementComplete)
    for (const instance of recorded.keys())
      if (!announced.has(instance)) puts.push(deleteRecord(controlKeys.origin(instance)));
  return puts;
};

/** Queues an update of the records if they differ from the live origins. */
export const tickOrigins = (state: StoreState, now: Timestamp): StoreTransition => {
  const leasePhase = state.candidate.phase;
  if (
    !state.settings.persistsOrigins ||
    leasePhase.phase !== 'holdingLease' ||
    now - state.originsCheckedAt < checkIntervalMs
  )
    return transition(state);
  const next: StoreState = { ...state, originsCheckedAt: now };
  if (state.commandQueue.some(({ kind }) => kind === 'recordOrigins')) return transition(next);
  if (
    originPuts(
      state.control.origins,
      state.session.origins,
      now - leasePhase.wonAt > absentAfterMs,
      now,
    ).length === 0
  )
    return transition(next);
  return enqueue(next, {
    kind: 'recordOrigins',
    isAnnouncementComplete: now - leasePhase.wonAt > absentAfterMs,
  });
};

/** Recorded origins for a hint, with an age that lets them expire soon, as they may be gone. */
export const storedOrigins = (state: StoreState): OriginInstance[] =>
  [...state.control.origins.values()].map((origin) => ({
    ...origin,
    age: toDurationMs(originTimeoutMs - provisionalMs),
  }));
