import {
  type InstanceId,
  type Timestamp,
  elapsedMs,
  subtractMs,
  noSeq,
  withEntry,
  filterEntries,
} from '@switchwheel/types';
import type { Origin } from '@switchwheel/transport';

/** An origin with the time it was last heard, by this process's clock. */
export interface Seen extends Omit<Origin, 'age'> {
  readonly at: Timestamp;
}
export type Origins = ReadonlyMap<InstanceId, Seen>;

/** How long an origin may be silent before nothing more is sent to it. */
export const silentSpan = 10_000;
/**
 * How long an origin that is silent is remembered. A word that is later than this is older than any
 * frame or call can be, so nothing makes an origin that left count as standing again.
 */
export const forgetSpan = 60_000;
/** Words that are nearly as old are no news: peers do not teach each other what they just forgot. */
const relearnSpan = forgetSpan - 5000;
const rank: ReadonlyMap<Origin['state'], number> = new Map([
  ['up', 0],
  ['leaving', 1],
  ['gone', 2],
]);
/** How far an origin is on its way out. */
export const rankOf = (state: Origin['state']): number => rank.get(state) ?? 0;

const same = (one: Seen, two: Seen): boolean =>
  one.service === two.service &&
  one.address === two.address &&
  one.release === two.release &&
  one.slots === two.slots &&
  one.state === two.state &&
  one.area === two.area;

/** Takes a word of an origin in. Leaving and gone are final for an instance, whoever says otherwise. */
export const learn = (
  origins: Origins,
  word: Seen,
): { readonly origins: Origins; readonly news: boolean } => {
  const known = origins.get(word.instance);
  if (known === undefined) {
    // An address belongs to one instance: whoever had it before is gone.
    let rest = origins;
    if (word.state === 'up') {
      for (const other of origins.values()) {
        if (other.address === word.address && other.state !== 'gone' && other.at <= word.at)
          rest = withEntry(rest, other.instance, { ...other, state: 'gone' });
      }
    }
    return { origins: withEntry(rest, word.instance, word), news: true };
  }
  const at = word.at > known.at ? word.at : known.at;
  const [before, now] = [known.calls ?? noSeq, word.calls ?? noSeq];
  const latest = now > before || (now === before && word.at > known.at) ? word : known;
  const state = rankOf(word.state) > rankOf(known.state) ? word.state : known.state;
  const next: Seen = { ...latest, state, at };
  if (same(next, known))
    return {
      origins: at - known.at > 200 ? withEntry(origins, word.instance, next) : origins,
      news: false,
    };
  return { origins: withEntry(origins, word.instance, next), news: true };
};

export const learnAll = (
  origins: Origins,
  words: readonly Origin[],
  now: Timestamp,
): { readonly origins: Origins; readonly news: boolean } => {
  let result = { origins, news: false };
  for (const { age, ...word } of words) {
    if (age > relearnSpan && !result.origins.has(word.instance)) continue;
    const next = learn(result.origins, { ...word, at: subtractMs(now, age) });
    result = { origins: next.origins, news: result.news || next.news };
  }
  return result;
};

export const tellOrigin = ({ at, ...word }: Seen, now: Timestamp): Origin => ({
  ...word,
  age: elapsedMs(at, now),
});
export const tellOrigins = (origins: Origins, now: Timestamp): Origin[] =>
  [...origins.values()].map((one) => tellOrigin(one, now));

export const forget = (origins: Origins, now: Timestamp): Origins =>
  filterEntries(origins, (one) => now - one.at < forgetSpan);
/** Whether requests may be sent to it at all. */
export const standing = (one: Seen, now: Timestamp): boolean =>
  one.state === 'up' && now - one.at < silentSpan;
