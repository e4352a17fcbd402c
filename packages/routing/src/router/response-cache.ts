/**
 * Response cache of an edge: decides when a cached response may be served and which responses are stored. `Cache`
 * stores the variants; `CacheLookup` decides which requests are cacheable.
 */

import { type Timestamp, elapsedMs } from '@switchwheel/types';
import type { HeaderFields } from '@switchwheel/transport';
import type { CompiledRoute } from '@switchwheel/configuration';
import { isConnected } from '@switchwheel/membership';
import {
  type Cache,
  type CacheEntry,
  CacheLookup,
  type CacheableRequest,
  type NodeAgent,
  fieldValue,
} from '@switchwheel/proxy-core';
import type { OriginResponse } from '../attempt-state/attempt-state.js';
import type { SharedObject } from '../object-sharing/object-sharing.js';
import type { AttemptStart } from './active-request.js';
import type { EdgeLimits, HeaderNames, IncomingRequest } from './ports.js';

/** Lifetime on a route that sets none: responses are not cached. */
const defaultLifetimeMs = 0;

/** Cached responses of an edge; only responses with status 200 are cached. */
export class ResponseCache {
  readonly #lookup: CacheLookup;
  readonly #headerNames: HeaderNames;
  readonly #maxPurgeLagMs: number;

  constructor(cache: Cache, headerNames: HeaderNames, limits: EdgeLimits) {
    this.#lookup = new CacheLookup(cache);
    this.#headerNames = headerNames;
    this.#maxPurgeLagMs = limits.maxPurgeLagMs;
  }

  /** Returns the cache key and fields of a request; undefined if its response must not be cached. */
  cacheable(route: CompiledRoute, request: IncomingRequest): CacheableRequest | undefined {
    const { method, host, target, fields } = request;
    return this.#lookup.cacheableRequest(route, method, host, target, fields);
  }

  /** Returns a cached response that may be served now, if there is one. */
  find(cacheable: CacheableRequest, nodeAgent: NodeAgent, now: Timestamp): CacheEntry | undefined {
    const { purgesCurrentAsOf, nodeSession } = nodeAgent;
    const hasRecentPurges =
      purgesCurrentAsOf !== undefined && elapsedMs(purgesCurrentAsOf, now) < this.#maxPurgeLagMs;
    // An edge disconnected from all registries keeps serving cached responses.
    if (!hasRecentPurges && isConnected(nodeSession, now)) return undefined;
    return this.#lookup.findFresh(cacheable, defaultLifetimeMs, now);
  }

  /** Returns the entry of a fetched response with status 200, and stores it if the route sets a lifetime. */
  storeResponse(
    cacheable: CacheableRequest,
    { fields, body }: OriginResponse,
    start: AttemptStart,
    now: Timestamp,
  ): CacheEntry {
    const entry = this.#entry(cacheable, fields, body, start.sentAt);
    if (entry.lifetimeMs > 0) this.#store(cacheable, entry, start.purgeSeq, now);
    return entry;
  }

  /** Stores an object that another edge shared; returns undefined if it has expired or was purged since. */
  storeShared(
    cacheable: CacheableRequest,
    object: SharedObject,
    now: Timestamp,
  ): CacheEntry | undefined {
    const { fields, body, createdAt, purged } = object;
    const entry = this.#entry(cacheable, fields, body, createdAt);
    const isExpired = elapsedMs(createdAt, now) >= entry.lifetimeMs;
    if (isExpired || this.#lookup.cache.isPurgedSince(entry.key, entry.tags, purged))
      return undefined;
    this.#store(cacheable, entry, purged, now);
    return entry;
  }

  #entry(
    cacheable: CacheableRequest,
    fields: HeaderFields,
    body: Buffer,
    createdAt: Timestamp,
  ): CacheEntry {
    return {
      key: cacheable.key,
      vary: new Map(),
      status: 200,
      fields,
      body,
      digest: '',
      createdAt,
      lifetimeMs: cacheable.route.cache?.lifetimeMs ?? defaultLifetimeMs,
      tags: tagsIn(fields, this.#headerNames.cacheTags),
    };
  }

  #store(
    cacheable: CacheableRequest,
    entry: CacheEntry,
    purgeSeq: SharedObject['purged'],
    now: Timestamp,
  ): void {
    const vary = cacheable.route.cache?.vary ?? [];
    this.#lookup.cache.store(entry, cacheable.fields, vary, purgeSeq, now);
  }
}

const tagsIn = (fields: HeaderFields, name: string): readonly string[] =>
  (fieldValue(fields, name) ?? '').split(/[\s,]+/).filter((tag) => tag !== '');
