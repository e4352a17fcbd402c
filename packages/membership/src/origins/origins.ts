/**
 * Table of known origins: merges announcements, whatever process relayed them, so that all processes
 * converge to the same view, and decides which origins are live. Load balancing is not done here.
 */

import {
  type InstanceId,
  type Timestamp,
  elapsedMs,
  subtractMs,
  noSeq,
  withEntry,
  filterEntries,
} from '@switchwheel/types';
import type { OriginInstance } from '@switchwheel/transport';

/** An origin with the time of its last announcement, by this process's clock. */
export interface KnownOrigin extends Omit<OriginInstance, 'age'> {
  readonly lastHeardAt: Timestamp;
}
/** Origins by their instance ids. */
export type OriginTable = ReadonlyMap<InstanceId, KnownOrigin>;

/** Time without an announcement after which an origin gets no more requests. */
export const originTimeoutMs = 10_000;
/**
 * Time for which a silent origin is kept. Longer than any frame or request can be delayed, so that a
 * late announcement can't make an origin that left count as live again.
 */
export const originRetentionMs = 60_000;
/** Age above which records of unknown origins are ignored, so that peers don't reintroduce expired origins. */
const maxRelearnAgeMs = originRetentionMs - 5000;
/** Minimum advance of an origin's time for an update, so that unchanged tables keep their identity. */
const minRefreshMs = 200;
const departureRanks: ReadonlyMap<OriginInstance['state'], number> = new Map([
  ['up', 0],
  ['leaving', 1],
  ['gone', 2],
]);
/** Progress of an origin's departure: 0 for up, 1 for leaving, 2 for gone. */
export const departureRank = (state: OriginInstance['state']): number =>
  departureRanks.get(state) ?? 0;

const isSameOrigin = (left: KnownOrigin, right: KnownOrigin): boolean =>
  left.service === right.service &&
  left.address === right.address &&
  left.release === right.release &&
  left.slots === right.slots &&
  left.state === right.state &&
  left.area === right.area;

/** Marks former instances at an announced address as gone: an address belongs to one instance. */
const endFormerOwners = (origins: OriginTable, announced: KnownOrigin): OriginTable => {
  let result = origins;
  if (announced.state === 'up') {
    for (const other of origins.values()) {
      const hadAddress =
        other.address === announced.address &&
        other.state !== 'gone' &&
        other.lastHeardAt <= announced.lastHeardAt;
      if (hadAddress) result = withEntry(result, other.instance, { ...other, state: 'gone' });
    }
  }
  return result;
};

/** Merges a known origin with an announcement: the newer one wins, but the departure never goes back. */
const mergeOrigin = (known: KnownOrigin, announced: KnownOrigin): KnownOrigin => {
  const knownSeq = known.calls ?? noSeq;
  const announcedSeq = announced.calls ?? noSeq;
  const isNewer =
    announcedSeq > knownSeq ||
    (announcedSeq === knownSeq && announced.lastHeardAt > known.lastHeardAt);
  const latest = isNewer ? announced : known;
  const state =
    departureRank(announced.state) > departureRank(known.state) ? announced.state : known.state;
  const lastHeardAt =
    announced.lastHeardAt > known.lastHeardAt ? announced.lastHeardAt : known.lastHeardAt;
  return { ...latest, state, lastHeardAt };
};

/**
 * Merges an announcement into the table. An instance that is leaving or gone never becomes up again.
 * `hasChanged` is true if anything but the origin's time has changed.
 */
export const learnOrigin = (
  origins: OriginTable,
  announced: KnownOrigin,
): { readonly origins: OriginTable; readonly hasChanged: boolean } => {
  const { instance } = announced;
  const known = origins.get(instance);
  if (known === undefined) {
    const remainingOrigins = endFormerOwners(origins, announced);
    return { origins: withEntry(remainingOrigins, instance, announced), hasChanged: true };
  }
  const merged = mergeOrigin(known, announced);
  const hasChanged = !isSameOrigin(merged, known);
  const isRefreshed = merged.lastHeardAt - known.lastHeardAt > minRefreshMs;
  return {
    origins: hasChanged || isRefreshed ? withEntry(origins, instance, merged) : origins,
    hasChanged,
  };
};

/** Merges the records of a frame, whose ages are relative to `now`. */
export const learnOrigins = (
  origins: OriginTable,
  records: readonly OriginInstance[],
  now: Timestamp,
): { readonly origins: OriginTable; readonly hasChanged: boolean } => {
  let result = { origins, hasChanged: false };
  for (const { age, ...record } of records) {
    if (age > maxRelearnAgeMs && !result.origins.has(record.instance)) continue;
    const next = learnOrigin(result.origins, { ...record, lastHeardAt: subtractMs(now, age) });
    result = { origins: next.origins, hasChanged: result.hasChanged || next.hasChanged };
  }
  return result;
};

/** Converts an origin to its record in frames, with an age in place of a time. */
export const originRecord = (
  { lastHeardAt, ...origin }: KnownOrigin,
  now: Timestamp,
): OriginInstance => ({
  ...origin,
  age: elapsedMs(lastHeardAt, now),
});
/** Converts all origins to their records in frames. */
export const originRecords = (origins: OriginTable, now: Timestamp): OriginInstance[] =>
  [...origins.values()].map((origin) => originRecord(origin, now));

/** Removes origins that have been silent for longer than the retention time. */
export const forgetOrigins = (origins: OriginTable, now: Timestamp): OriginTable =>
  filterEntries(origins, (origin) => now - origin.lastHeardAt < originRetentionMs);

/** Whether requests may be sent to an origin. */
export const isLiveOrigin = (origin: KnownOrigin, now: Timestamp): boolean =>
  origin.state === 'up' && now - origin.lastHeardAt < originTimeoutMs;
