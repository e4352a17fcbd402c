/**
 * What a process knows of origins: announcements, by any way they come, are merged so that all
 * processes come to the same view. Who may be sent requests is decided here; who is picked is not.
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

/** An origin with the time it was last heard, by this process's clock. */
export interface KnownOrigin extends Omit<OriginInstance, 'age'> {
  readonly lastHeardAt: Timestamp;
}
/** Origins by their instance ids. */
export type OriginTable = ReadonlyMap<InstanceId, KnownOrigin>;

/** How long an origin may be silent before no more requests are sent to it. */
export const originTimeoutMs = 10_000;
/**
 * How long a silent origin is remembered. No frame or request is under way for so long, so no late
 * announcement makes an origin that left count as live again.
 */
export const originRetentionMs = 60_000;
/** Older records of unknown origins are ignored: peers do not teach each other what they just forgot. */
const maxRelearnAgeMs = originRetentionMs - 5000;
/** Below this an origin's time is left as it is, so that a table that says the same is the same object. */
const minRefreshMs = 200;
const departureRanks: ReadonlyMap<OriginInstance['state'], number> = new Map([
  ['up', 0],
  ['leaving', 1],
  ['gone', 2],
]);
/** How far an origin is on its way out: 0 for up, 1 for leaving, 2 for gone. */
export const departureRank = (state: OriginInstance['state']): number =>
  departureRanks.get(state) ?? 0;

const isSameOrigin = (one: KnownOrigin, two: KnownOrigin): boolean =>
  one.service === two.service &&
  one.address === two.address &&
  one.release === two.release &&
  one.slots === two.slots &&
  one.state === two.state &&
  one.area === two.area;

/** An address belongs to one instance: whoever had it before is gone. */
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

/** What is known after an announcement: the newer of both, but never less far on its way out. */
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

/** Merges an announcement. Leaving and gone are final for an instance, whoever says otherwise. */
export const learnOrigin = (
  origins: OriginTable,
  announced: KnownOrigin,
): { readonly origins: OriginTable; readonly news: boolean } => {
  const { instance } = announced;
  const known = origins.get(instance);
  if (known === undefined) {
    const rest = endFormerOwners(origins, announced);
    return { origins: withEntry(rest, instance, announced), news: true };
  }
  const merged = mergeOrigin(known, announced);
  const news = !isSameOrigin(merged, known);
  const isRefreshed = merged.lastHeardAt - known.lastHeardAt > minRefreshMs;
  return { origins: news || isRefreshed ? withEntry(origins, instance, merged) : origins, news };
};

/** Merges the records of a frame, whose ages count back from now. */
export const learnOrigins = (
  origins: OriginTable,
  records: readonly OriginInstance[],
  now: Timestamp,
): { readonly origins: OriginTable; readonly news: boolean } => {
  let result = { origins, news: false };
  for (const { age, ...record } of records) {
    if (age > maxRelearnAgeMs && !result.origins.has(record.instance)) continue;
    const next = learnOrigin(result.origins, { ...record, lastHeardAt: subtractMs(now, age) });
    result = { origins: next.origins, news: result.news || next.news };
  }
  return result;
};

/** An origin as frames bear it, with its age in place of a time. */
export const originRecord = (
  { lastHeardAt, ...origin }: KnownOrigin,
  now: Timestamp,
): OriginInstance => ({
  ...origin,
  age: elapsedMs(lastHeardAt, now),
});
/** All origins as frames bear them. */
export const originRecords = (origins: OriginTable, now: Timestamp): OriginInstance[] =>
  [...origins.values()].map((origin) => originRecord(origin, now));

/** The table without origins that have been silent for too long to be remembered. */
export const forgetOrigins = (origins: OriginTable, now: Timestamp): OriginTable =>
  filterEntries(origins, (origin) => now - origin.lastHeardAt < originRetentionMs);

/** Whether requests may be sent to an origin at all. */
export const isLiveOrigin = (origin: KnownOrigin, now: Timestamp): boolean =>
  origin.state === 'up' && now - origin.lastHeardAt < originTimeoutMs;
