/**
 * Records of origins: of departed ones, so that an acknowledged departure outlives all processes, and of live ones, so
 * that a fleet that restarts as a whole need not wait for every origin to announce itself again.
 */

import {
  type InstanceId,
  type Timestamp,
  elapsedMs,
  toDurationMs,
  transition,
} from '@switchwheel/types';
import type { FrameOf, OriginInstance, TableMutation } from '@switchwheel/transport';
import { controlKeys, deleteRecord, putRecord } from '@switchwheel/configuration';
import {
  type KnownOrigin,
  departureRank,
  isLiveOrigin,
  learnOrigins,
  originTimeoutMs,
} from '@switchwheel/membership';
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
  state,
  area,
}: KnownOrigin): OriginInstance => ({
  service,
  instance,
  address,
  release,
  slots,
  state,
  age: toDurationMs(0),
  ...(area === undefined ? {} : { area }),
});

const isSameOrigin = (first: OriginInstance, second: OriginInstance): boolean =>
  first.service === second.service &&
  first.address === second.address &&
  first.release === second.release &&
  first.slots === second.slots &&
  first.area === second.area;

const hasDeparted = ({ state }: Pick<OriginInstance, 'state'>): boolean =>
  departureRank(state) > departureRank('up');

const deleteOrigin = (instance: InstanceId): TableMutation =>
  deleteRecord(controlKeys.origin(instance));

/** Which origins are recorded, and whether all of them have been announced to this primary. */
interface OriginRecording {
  readonly recordsLiveOrigins: boolean;
  /** A new primary may not have received all announcements yet. */
  readonly isAnnouncementComplete: boolean;
}

/** Mutation of the record of an announced origin; undefined if the record is right. A departure is never undone. */
const originMutation = (
  recorded: OriginInstance | undefined,
  announced: KnownOrigin,
  recordsLiveOrigins: boolean,
  now: Timestamp,
): TableMutation | undefined => {
  const { instance, state } = announced;
  const after = originRecord(announced);
  if (recorded !== undefined && hasDeparted(recorded) && !hasDeparted(announced)) return undefined;
  if (hasDeparted(announced))
    return recorded !== undefined && departureRank(recorded.state) >= departureRank(state)
      ? undefined
      : putRecord(controlKeys.origin(instance), after);
  if (!isLiveOrigin(announced, now))
    return recorded === undefined ? undefined : deleteOrigin(instance);
  if (!recordsLiveOrigins || (recorded !== undefined && isSameOrigin(recorded, after)))
    return undefined;
  return putRecord(controlKeys.origin(instance), after);
};

/** Table mutations that bring the records in line with the announced origins. */
export const originPuts = (
  recorded: ReadonlyMap<InstanceId, OriginInstance>,
  announced: StoreState['session']['origins'],
  { recordsLiveOrigins, isAnnouncementComplete }: OriginRecording,
  now: Timestamp,
): readonly TableMutation[] => {
  const puts: TableMutation[] = [];
  for (const origin of announced.values()) {
    const put = originMutation(recorded.get(origin.instance), origin, recordsLiveOrigins, now);
    if (put !== undefined) puts.push(put);
  }
  if (isAnnouncementComplete)
    for (const instance of recorded.keys())
      if (!announced.has(instance)) puts.push(deleteOrigin(instance));
  return puts;
};

/** Queues an update of the records if they differ from the announced origins and none is queued. */
const queueUpdate = (state: StoreState, now: Timestamp): StoreTransition => {
  const leasePhase = state.candidate.phase;
  if (
    leasePhase.phase !== 'holdingLease' ||
    state.commandQueue.some(({ kind }) => kind === 'recordOrigins')
  )
    return transition(state);
  const isAnnouncementComplete = now - leasePhase.wonAt > absentAfterMs;
  const recordsLiveOrigins = state.settings.persistsOrigins === true;
  const puts = originPuts(
    state.control.origins,
    state.session.origins,
    { recordsLiveOrigins, isAnnouncementComplete },
    now,
  );
  return puts.length === 0
    ? transition(state)
    : enqueue(state, { kind: 'recordOrigins', isAnnouncementComplete });
};

/** Updates the records periodically. */
export const tickOrigins = (state: StoreState, now: Timestamp): StoreTransition =>
  now - state.originsCheckedAt < checkIntervalMs
    ? transition(state)
    : queueUpdate({ ...state, originsCheckedAt: now }, now);

/** Handles a departure that a registry is about to acknowledge: records it without waiting for the next check. */
export const onDeparture = (
  state: StoreState,
  { origin }: FrameOf<'departure'>,
  now: Timestamp,
): StoreTransition => {
  const { origins } = learnOrigins(state.session.origins, [origin], now);
  return queueUpdate({ ...state, session: { ...state.session, origins } }, now);
};

/** Departures that are on the disks of the in-sync set, with the time since they were announced. */
export const recordedDepartures = (state: StoreState, now: Timestamp): OriginInstance[] => {
  const leasePhase = state.candidate.phase;
  const primarySince = leasePhase.phase === 'holdingLease' ? leasePhase.wonAt : now;
  return [...state.control.origins.values()].filter(hasDeparted).map((origin) => {
    const heardAt = state.session.origins.get(origin.instance)?.lastHeardAt ?? primarySince;
    return { ...origin, age: elapsedMs(heardAt, now) };
  });
};

/** Recorded origins for a hint, with an age that lets them expire soon, as they may be gone. */
export const storedOrigins = (state: StoreState): OriginInstance[] =>
  [...state.control.origins.values()].map((origin) => ({
    ...origin,
    age: toDurationMs(originTimeoutMs - provisionalMs),
  }));
