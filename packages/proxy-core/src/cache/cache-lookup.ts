/**
 * Rules for serving requests from the cache and for storing responses, shared by edges and shields.
 * The cache itself is in `cache`.
 */

import { type Timestamp, type Seq, toTimestamp } from '@switchwheel/types';
import type { ForwardedRequest, HeaderFields } from '@switchwheel/transport';
import type { CompiledConfiguration, CompiledRoute } from '@switchwheel/configuration';
import { mayServeFromCache } from '../node-agent/readiness.js';
import type { NodeAgent } from '../node-agent/state.js';
import { type Cache, type CacheKey, type CacheEntry, bodyDigest } from './cache.js';
import { cacheControl, cacheTags, freshnessLifetimeMs } from './cache-control.js';
import { fieldValue } from './header-fields.js';

/** Splits a request target into path and query. */
export const splitTarget = (target: string): { readonly path: string; readonly query: string } => {
  const separator = target.indexOf('?');
  return separator < 0
    ? { path: target, query: '' }
    : { path: target.slice(0, separator), query: target.slice(separator + 1) };
};

/**
 * Conditional and range fields. They are not forwarded with a cacheable request, since the cache
 * needs the complete response.
 */
export const conditionalFields: readonly string[] = [
  'if-none-match',
  'if-modified-since',
  'if-match',
  'if-unmodified-since',
  'if-range',
  'range',
];

/**
 * Request fields that must match for two requests to share a fetch, in addition to the fields
 * configured for the route.
 */
const negotiationFields = ['accept', 'accept-encoding', 'accept-language'];

/** Whether responses to a request must never be shared between clients. */
const isPrivateRequest = (fields: HeaderFields): boolean =>
  fieldValue(fields, 'authorization') !== undefined ||
  fieldValue(fields, 'cookie') !== undefined ||
  cacheControl(fields).has('no-store');

/** Request whose response may be cached. */
export interface CacheableRequest {
  readonly key: CacheKey;
  readonly fields: HeaderFields;
  readonly route: CompiledRoute;
  /** Requests with the same key may share a fetch. */
  readonly coalescingKey: string;
}

/** Complete response as fetched. */
export interface FetchedResponse {
  readonly status: number;
  readonly fields: HeaderFields;
  readonly body: Buffer;
  readonly digest: string;
  readonly createdAt: Timestamp;
  /** Last purge that had been applied when its fetch started. */
  readonly purgeSeqAtFetch: Seq;
}

/** Applies the caching rules for requests and responses to a cache. */
export class CacheLookup {
  readonly cache: Cache;

  constructor(cache: Cache) {
    this.cache = cache;
  }

  /** Returns the cacheable form of a request; undefined if its response may not be cached. */
  cacheableRequest(
    route: CompiledRoute,
    method: string,
    host: string,
    target: string,
    fields: HeaderFields,
  ): CacheableRequest | undefined {
    const rules = route.cache;
    if (rules === undefined || (method !== 'GET' && method !== 'HEAD') || isPrivateRequest(fields))
      return undefined;
    const { path, query } = splitTarget(target);
    const key = { route: route.name, host, path, query: rules.query ? query : '' };
    const coalescingKey = JSON.stringify([
      key.route,
      key.host,
      key.path,
      key.query,
      ...[...negotiationFields, ...rules.vary].map((name) => fieldValue(fields, name) ?? ''),
    ]);
    return { key, fields, route, coalescingKey };
  }

  /**
   * Returns the cacheable form of a request forwarded to this shield; undefined if its response may
   * not be cached.
   */
  cacheableForwardedRequest(
    configuration: CompiledConfiguration | undefined,
    request: Omit<ForwardedRequest, 'body'>,
  ): CacheableRequest | undefined {
    if (!request.storable || request.method !== 'GET') return undefined;
    const route = configuration?.routesByName.get(request.route);
    const { method, host, path, fields } = request;
    return route === undefined
      ? undefined
      : this.cacheableRequest(route, method, host, path, fields);
  }

  /** Whether this cache may serve a node that knows of the purges up to `requiredPurgeSeq`. */
  isCurrent(nodeAgent: NodeAgent, requiredPurgeSeq: Seq, now: Timestamp): boolean {
    return mayServeFromCache(nodeAgent, now) && this.cache.lastPurgeSeq >= requiredPurgeSeq;
  }

  /**
   * Returns a stored response that is fresh by the route in force, whatever its lifetime was when the response was
   * fetched; `defaultLifetimeMs` applies if the route sets none.
   */
  findFresh(
    { key, fields, route }: CacheableRequest,
    defaultLifetimeMs: number,
    now: Timestamp,
  ): CacheEntry | undefined {
    return this.cache.find(key, fields, route.cache?.lifetimeMs ?? defaultLifetimeMs, now);
  }

  /**
   * Returns a stored response that may be used now. One whose body does not match its digest is
   * removed.
   */
  find(
    cacheable: CacheableRequest,
    nodeAgent: NodeAgent,
    requiredPurgeSeq: Seq,
    now: Timestamp,
  ): CacheEntry | undefined {
    const entry = this.isCurrent(nodeAgent, requiredPurgeSeq, now)
      ? this.findFresh(cacheable, Infinity, now)
      : undefined;
    if (entry === undefined || bodyDigest(entry.body) === entry.digest) return entry;
    this.cache.remove(entry);
    return undefined;
  }

  /** Stores a response if permitted; returns the stored entry. */
  store(
    { key, fields: requestFields, route }: CacheableRequest,
    response: FetchedResponse,
    now: Timestamp,
  ): CacheEntry | undefined {
    const { status, fields, body, digest, createdAt, purgeSeqAtFetch } = response;
    const lifetimeMs = freshnessLifetimeMs(status, fields, false, route.cache?.lifetimeMs);
    if (lifetimeMs === undefined || lifetimeMs <= 0) return undefined;
    return this.cache.store(
      { key, status, fields, body, digest, createdAt, lifetimeMs, tags: cacheTags(fields) },
      requestFields,
      route.cache?.vary ?? [],
      purgeSeqAtFetch,
      now,
    );
  }
}

/**
 * Returns the creation time of a response by the clock of the requesting node. It is never later
 * than the actual one, since the age is subtracted from the time of the request.
 */
export const creationTime = (requestedAt: Timestamp, ageMs: number): Timestamp =>
  toTimestamp(requestedAt - ageMs);
