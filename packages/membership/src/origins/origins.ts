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
export type OriginTable = ReadonlyMap<InstanceId, KnownOrigin>;

/** How long an origin may be silent before nothing more is sent to it. */
export const originTimeoutMs = 10_000;
/**
 * How long an origin that is silent is remembered. A word that is later than this is older than any
 * frame or call can be, so nothing makes an origin that left count as standing again.
 */
export const originRetentionMs = 60_000;
/** Words that are nearly as old are no news: peers do not teach each other what they just forgot. */
const maxRelearnAgeMs = originRetentionMs - 5000;
const departureRanks: ReadonlyMap<OriginInstance['state'], number> = new Map([
  ['up', 0],
  ['leaving', 1],
  ['gone', 2],
]);
/** How far an origin is on its way out. */
export const departureRank = (state: OriginInstance['state']): number =>
  departureRanks.get(state) ?? 0;

const isSameOrigin = (one: KnownOrigin, two: KnownOrigin): boolean =>
  one.service === two.service &&
  one.address === two.address &&
  one.release === two.release &&
  one.slots === two.slots &&
  one.state === two.state &&
  one.area === two.area;

/** Takes a word of an origin in. Leaving and gone are final for an instance, whoever says otherwise. */
export const learnOrigin = (
  origins: OriginTable,
  word: KnownOrigin,
): { readonly origins: OriginTable; readonly news: boolean } => {
  const known = origins.get(word.instance);
  if (known === undefined) {
    // An address belongs to one instance: whoever had it before is gone.
    let rest = origins;
    if (word.state === 'up') {
      for (const other of origins.values()) {
        if (
          other.address === word.address &&
          other.state !== 'gone' &&
          other.lastHeardAt <= word.lastHeardAt
        )
          rest = withEntry(rest, other.instance, { ...other, state: 'gone' });
      }
    }
    return { origins: withEntry(rest, word.instance, word), news: true };
  }
  const at = word.lastHeardAt > known.lastHeardAt ? word.lastHeardAt : known.lastHeardAt;
  const [before, now] = [known.calls ?? noSeq, word.calls ?? noSeq];
  const latest =
    now > before || (now === before && word.lastHeardAt > known.lastHeardAt) ? word : known;
  const state = departureRank(word.state) > departureRank(known.state) ? word.state : known.state;
  const next: KnownOrigin = { ...latest, state, lastHeardAt: at };
  if (isSameOrigin(next, known))
    return {
      origins: at - known.lastHeardAt > 200 ? withEntry(origins, word.instance, next) : origins,
      news: false,
    };
  return { origins: withEntry(origins, word.instance, next), news: true };
};

export const learnOrigins = (
  origins: OriginTable,
  words: readonly OriginInstance[],
  now: Timestamp,
): { readonly origins: OriginTable; readonly news: boolean } => {
  let result = { origins, news: false };
  for (const { age, ...word } of words) {
    if (age > maxRelearnAgeMs && !result.origins.has(word.instance)) continue;
    const next = learnOrigin(result.origins, { ...word, lastHeardAt: subtractMs(now, age) });
    result = { origins: next.origins, news: result.news || next.news };
  }
  return result;
};

export const originRecord = (
  { lastHeardAt, ...word }: KnownOrigin,
  now: Timestamp,
): OriginInstance => ({
  ...word,
  age: elapsedMs(lastHeardAt, now),
});
export const originRecords = (origins: OriginTable, now: Timestamp): OriginInstance[] =>
  [...origins.values()].map((one) => originRecord(one, now));

export const forgetOrigins = (origins: OriginTable, now: Timestamp): OriginTable =>
  filterEntries(origins, (one) => now - one.lastHeardAt < originRetentionMs);
/** Whether requests may be sent to it at all. */
export const isLiveOrigin = (one: KnownOrigin, now: Timestamp): boolean =>
  one.state === 'up' && now - one.lastHeardAt < originTimeoutMs;
