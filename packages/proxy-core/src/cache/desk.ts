import type { Timestamp, Seq } from '@switchwheel/types';
import { toTimestamp } from '@switchwheel/types';
import type { Ask, Fields } from '@switchwheel/transport';
import type { Table, Track } from '@switchwheel/configuration';
import { mayServe } from '../cabin/machine.js';
import type { Cabin } from '../cabin/state.js';
import { type Cache, type CacheKey, type Entry, digestOf } from './cache.js';
import { control, fieldOf, lifetimeOf, tagsOf } from './fields.js';

/** Cuts a request target into path and query. */
export const cutTarget = (target: string): { readonly path: string; readonly query: string } => {
  const at = target.indexOf('?');
  return at < 0
    ? { path: target, query: '' }
    : { path: target.slice(0, at), query: target.slice(at + 1) };
};

/** Fields that a keepable request must not pass on: the cache needs the whole result. */
export const conditional: readonly string[] = [
  'if-none-match',
  'if-modified-since',
  'if-match',
  'if-unmodified-since',
  'if-range',
  'range',
];

/** Requests whose results are never shared. */
const isPrivate = (fields: Fields): boolean =>
  fieldOf(fields, 'authorization') !== undefined ||
  fieldOf(fields, 'cookie') !== undefined ||
  control(fields).has('no-store');

/** What a request is known by at a cache. */
export interface Slip {
  readonly key: CacheKey;
  readonly fields: Fields;
  readonly track: Track;
  /** Those who wait for one fetch agree in all of this. */
  readonly flight: string;
}

/** A result as it came, with what decides how long it may be kept. */
export interface Arrived {
  readonly status: number;
  readonly fields: Fields;
  readonly body: Buffer;
  readonly digest: string;
  readonly born: Timestamp;
  /** The last purge that was acted on when its fetch began. */
  readonly purged: Seq;
}

/** Which results a request may be told from a cache, and which are kept: the same rules at both tiers. */
export class Desk {
  readonly cache: Cache;

  constructor(cache: Cache) {
    this.cache = cache;
  }

  /** The slip of a request whose result may be kept or told from the cache, if it is one. */
  slip(
    track: Track,
    method: string,
    host: string,
    target: string,
    fields: Fields,
  ): Slip | undefined {
    const keep = track.cache;
    if (keep === undefined || (method !== 'GET' && method !== 'HEAD') || isPrivate(fields))
      return undefined;
    const { path, query } = cutTarget(target);
    const key = { route: track.name, host, path, query: keep.query ? query : '' };
    const flight = JSON.stringify([
      key.route,
      key.host,
      key.path,
      key.query,
      ...['accept', 'accept-encoding', 'accept-language', ...keep.vary].map(
        (name) => fieldOf(fields, name) ?? '',
      ),
    ]);
    return { key, fields, track, flight };
  }

  /** The slip of an ask that came to a keeper. */
  askSlip(table: Table | undefined, ask: Omit<Ask, 'body'>): Slip | undefined {
    const track = ask.storable && ask.method === 'GET' ? table?.tracks.get(ask.route) : undefined;
    return track === undefined
      ? undefined
      : this.slip(track, ask.method, ask.host, ask.path, ask.fields);
  }

  /** Whether this cache may speak now, to one that has heard the purges up to `purged`. */
  inStep(cabin: Cabin, purged: Seq, now: Timestamp): boolean {
    return mayServe(cabin, now) && this.cache.top >= purged;
  }

  /** A kept result that may be told now; one that no longer fits its digest is nobody's and goes. */
  find(slip: Slip, cabin: Cabin, purged: Seq, now: Timestamp): Entry | undefined {
    const entry = this.inStep(cabin, purged, now)
      ? this.cache.find(slip.key, slip.fields, now)
      : undefined;
    if (entry === undefined || digestOf(entry.body) === entry.digest) return entry;
    this.cache.forget(entry);
    return undefined;
  }

  keep(slip: Slip, result: Arrived, now: Timestamp): Entry | undefined {
    const lifetime = lifetimeOf(result.status, result.fields, false, slip.track.cache?.lifetimeMs);
    if (lifetime === undefined || lifetime <= 0) return undefined;
    const { status, fields, body, digest, born } = result;
    return this.cache.store(
      { key: slip.key, status, fields, body, digest, born, lifetime, tags: tagsOf(fields) },
      slip.fields,
      slip.track.cache?.vary ?? [],
      result.purged,
      now,
    );
  }
}

/** When a result was made, by the clock of who asked for it: never later than it was. */
export const bornAt = (askedAt: Timestamp, age: number): Timestamp => toTimestamp(askedAt - age);
