import type { Timestamp, Seq } from '@switchwheel/types';
import { toTimestamp } from '@switchwheel/types';
import type { ForwardedRequest, HeaderFields } from '@switchwheel/transport';
import type { CompiledConfiguration, CompiledRoute } from '@switchwheel/configuration';
import { mayServeFromCache } from '../node-agent/readiness.js';
import type { NodeAgent } from '../node-agent/state.js';
import { type Cache, type CacheKey, type CacheEntry, bodyDigest } from './cache.js';
import { cacheControl, fieldValue, freshnessLifetimeMs, cacheTags } from './header-fields.js';

/** Cuts a request target into path and query. */
export const splitTarget = (target: string): { readonly path: string; readonly query: string } => {
  const at = target.indexOf('?');
  return at < 0
    ? { path: target, query: '' }
    : { path: target.slice(0, at), query: target.slice(at + 1) };
};

/** Fields that a keepable request must not pass on: the cache needs the whole result. */
export const conditionalFields: readonly string[] = [
  'if-none-match',
  'if-modified-since',
  'if-match',
  'if-unmodified-since',
  'if-range',
  'range',
];

/** Requests whose results are never shared. */
const isPrivateRequest = (fields: HeaderFields): boolean =>
  fieldValue(fields, 'authorization') !== undefined ||
  fieldValue(fields, 'cookie') !== undefined ||
  cacheControl(fields).has('no-store');

/** What a request is known by at a cache. */
export interface CacheableRequest {
  readonly key: CacheKey;
  readonly fields: HeaderFields;
  readonly route: CompiledRoute;
  /** Those who wait for one fetch agree in all of this. */
  readonly coalescingKey: string;
}

/** A result as it came, with what decides how long it may be kept. */
export interface FetchedResponse {
  readonly status: number;
  readonly fields: HeaderFields;
  readonly body: Buffer;
  readonly digest: string;
  readonly createdAt: Timestamp;
  /** The last purge that was acted on when its fetch began. */
  readonly purgeSeqAtFetch: Seq;
}

/** Which results a request may be told from a cache, and which are kept: the same rules at both tiers. */
export class CacheLookup {
  readonly cache: Cache;

  constructor(cache: Cache) {
    this.cache = cache;
  }

  /** The slip of a request whose result may be kept or told from the cache, if it is one. */
  cacheableRequest(
    track: CompiledRoute,
    method: string,
    host: string,
    target: string,
    fields: HeaderFields,
  ): CacheableRequest | undefined {
    const keep = track.cache;
    if (keep === undefined || (method !== 'GET' && method !== 'HEAD') || isPrivateRequest(fields))
      return undefined;
    const { path, query } = splitTarget(target);
    const key = { route: track.name, host, path, query: keep.query ? query : '' };
    const flight = JSON.stringify([
      key.route,
      key.host,
      key.path,
      key.query,
      ...['accept', 'accept-encoding', 'accept-language', ...keep.vary].map(
        (name) => fieldValue(fields, name) ?? '',
      ),
    ]);
    return { key, fields, route: track, coalescingKey: flight };
  }

  /** The slip of an ask that came to a keeper. */
  cacheableForwardedRequest(
    table: CompiledConfiguration | undefined,
    ask: Omit<ForwardedRequest, 'body'>,
  ): CacheableRequest | undefined {
    const track =
      ask.storable && ask.method === 'GET' ? table?.routesByName.get(ask.route) : undefined;
    return track === undefined
      ? undefined
      : this.cacheableRequest(track, ask.method, ask.host, ask.path, ask.fields);
  }

  /** Whether this cache may speak now, to one that has heard the purges up to `purged`. */
  isCurrent(cabin: NodeAgent, purged: Seq, now: Timestamp): boolean {
    return mayServeFromCache(cabin, now) && this.cache.lastPurgeSeq >= purged;
  }

  /** A kept result that may be told now; one that no longer fits its digest is nobody's and goes. */
  find(
    slip: CacheableRequest,
    cabin: NodeAgent,
    purged: Seq,
    now: Timestamp,
  ): CacheEntry | undefined {
    const entry = this.isCurrent(cabin, purged, now)
      ? this.cache.find(slip.key, slip.fields, now)
      : undefined;
    if (entry === undefined || bodyDigest(entry.body) === entry.digest) return entry;
    this.cache.remove(entry);
    return undefined;
  }

  store(slip: CacheableRequest, result: FetchedResponse, now: Timestamp): CacheEntry | undefined {
    const lifetime = freshnessLifetimeMs(
      result.status,
      result.fields,
      false,
      slip.route.cache?.lifetimeMs,
    );
    if (lifetime === undefined || lifetime <= 0) return undefined;
    const { status, fields, body, digest, createdAt } = result;
    return this.cache.store(
      {
        key: slip.key,
        status,
        fields,
        body,
        digest,
        createdAt,
        lifetimeMs: lifetime,
        tags: cacheTags(fields),
      },
      slip.fields,
      slip.route.cache?.vary ?? [],
      result.purgeSeqAtFetch,
      now,
    );
  }
}

/** When a result was made, by the clock of who asked for it: never later than it was. */
export const creationTime = (askedAt: Timestamp, age: number): Timestamp =>
  toTimestamp(askedAt - age);
