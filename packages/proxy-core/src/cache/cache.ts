/**
 * In-memory cache of complete responses: keys, variants, lifetimes, tags and purges. The rules on
 * serving and storing are in `cache-lookup`.
 */

import { createHash } from 'node:crypto';
import { type Timestamp, type Seq, noSeq } from '@switchwheel/types';
import type { PurgeTarget, HeaderFields, Purge } from '@switchwheel/transport';
import { varyNames } from './cache-control.js';
import { fieldValue } from './header-fields.js';

/** Primary key of a stored response, without its variant. */
export interface CacheKey {
  readonly route: string;
  readonly host: string;
  readonly path: string;
  readonly query: string;
}

/** Stored response. */
export interface CacheEntry {
  readonly key: CacheKey;
  /** Values of the request fields that select this variant, by name. */
  readonly vary: ReadonlyMap<string, string>;
  readonly status: number;
  readonly fields: HeaderFields;
  readonly body: Buffer;
  /** SHA-256 of the body in Base64. */
  readonly digest: string;
  /** Earliest possible time of creation at the origin. */
  readonly createdAt: Timestamp;
  readonly lifetimeMs: number;
  readonly tags: readonly string[];
}

/** Maximum fraction of the cache that one response may occupy. */
const maxEntryFraction = 1 / 8;
/** Maximum number of variants per key. */
const maxVariants = 32;
/** Estimated size of an entry without its body. */
const entryOverheadBytes = 512;
/**
 * Maximum number of recent purges kept. A response fetched before the oldest of them is not stored.
 */
const maxRecentPurges = 256;

const cacheKeyString = (key: CacheKey): string =>
  `${key.route}\n${key.host}\n${key.path}\n${key.query}`;

/** Returns the SHA-256 of a body in Base64. */
export const bodyDigest = (body: Uint8Array): string =>
  createHash('sha256').update(body).digest('base64');

const isTargeted = (key: CacheKey, tags: readonly string[], target: PurgeTarget): boolean => {
  switch (target.by) {
    case 'all':
      return true;
    case 'tag':
      return tags.includes(target.tag);
    case 'object':
      return target.path === key.path && (target.host === undefined || target.host === key.host);
  }
};

/** Returns the values of the request fields that a response varies by. */
const varyValues = (names: readonly string[], request: HeaderFields): ReadonlyMap<string, string> =>
  new Map(names.map((name) => [name, fieldValue(request, name) ?? '']));

const isVariantFor = (entry: CacheEntry, request: HeaderFields): boolean =>
  [...entry.vary].every(([name, value]) => (fieldValue(request, name) ?? '') === value);

const isSameVariant = (left: CacheEntry, right: CacheEntry): boolean =>
  left.vary.size === right.vary.size &&
  [...left.vary].every(([name, value]) => right.vary.get(name) === value);

/**
 * LRU cache of complete responses. It is mutable: copying thousands of entries for each request
 * would cost more than the request itself.
 */
export class Cache {
  readonly #entriesByKey = new Map<string, CacheEntry[]>();
  readonly #keysByPath = new Map<string, Set<string>>();
  readonly #keysByTag = new Map<string, Set<string>>();
  readonly #recentPurges: Purge[] = [];
  readonly #maxBytes: number;
  #bytes = 0;
  #flushedUpTo: Seq = noSeq;
  #lastPurgeSeq: Seq = noSeq;

  constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  /** Size of all entries in bytes, with their overhead. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Number of keys with entries. */
  get size(): number {
    return this.#entriesByKey.size;
  }

  /** Last purge that was applied. */
  get lastPurgeSeq(): Seq {
    return this.#lastPurgeSeq;
  }

  /**
   * Returns a response for a request that is fresh by its own lifetime and by `maxLifetimeMs`, and marks it as recently
   * used.
   */
  find(
    key: CacheKey,
    request: HeaderFields,
    maxLifetimeMs: number,
    now: Timestamp,
  ): CacheEntry | undefined {
    const keyString = cacheKeyString(key);
    const variants = this.#entriesByKey.get(keyString);
    if (variants === undefined) return undefined;
    const entry = variants.find((variant) => isVariantFor(variant, request));
    if (entry === undefined) return undefined;
    if (now - entry.createdAt >= Math.min(entry.lifetimeMs, maxLifetimeMs)) {
      this.#remove(keyString, entry);
      return undefined;
    }
    // Map order is order of use: the most recently used key is last.
    this.#entriesByKey.delete(keyString);
    this.#entriesByKey.set(keyString, variants);
    return entry;
  }

  /**
   * Stores a response, unless it is too large, expired, or targeted by a purge after
   * `purgeSeqAtFetch`. It varies by its Vary field and by the names in `routeVary`.
   */
  store(
    entry: Omit<CacheEntry, 'vary'>,
    request: HeaderFields,
    routeVary: readonly string[],
    purgeSeqAtFetch: Seq,
    now: Timestamp,
  ): CacheEntry | undefined {
    const { key, tags } = entry;
    if (
      entry.body.length > this.#maxBytes * maxEntryFraction ||
      now - entry.createdAt >= entry.lifetimeMs ||
      this.isPurgedSince(key, tags, purgeSeqAtFetch)
    )
      return undefined;
    const stored: CacheEntry = {
      ...entry,
      vary: varyValues([...new Set([...varyNames(entry.fields), ...routeVary])], request),
    };
    const keyString = cacheKeyString(key);
    const replaced = this.#entriesByKey
      .get(keyString)
      ?.find((variant) => isSameVariant(variant, stored));
    if (replaced !== undefined) this.#remove(keyString, replaced);
    const others = this.#entriesByKey.get(keyString) ?? [];
    this.#entriesByKey.delete(keyString);
    this.#entriesByKey.set(keyString, [...others, stored].slice(-maxVariants));
    this.#index(this.#keysByPath, key.path, keyString);
    for (const tag of tags) this.#index(this.#keysByTag, tag, keyString);
    this.#bytes += stored.body.length + entryOverheadBytes;
    this.#evict();
    return stored;
  }

  /** Whether a purge after `since` targets an object. */
  isPurgedSince(key: CacheKey, tags: readonly string[], since: Seq): boolean {
    if (since < this.#flushedUpTo) return true;
    return this.#recentPurges.some(
      (purge) => purge.seq > since && purge.aims.some((target) => isTargeted(key, tags, target)),
    );
  }

  /**
   * Applies purges up to `lastPurgeSeq`. With `flush` the whole cache is emptied first, because
   * purges were missed.
   */
  purge(purges: readonly Purge[], flush: boolean, lastPurgeSeq: Seq): void {
    if (flush) {
      this.#entriesByKey.clear();
      this.#keysByPath.clear();
      this.#keysByTag.clear();
      this.#bytes = 0;
      this.#recentPurges.splice(0);
      this.#flushedUpTo = lastPurgeSeq;
    }
    for (const purge of purges) {
      for (const target of purge.aims) this.#purgeMatching(target);
      this.#recentPurges.push(purge);
    }
    while (this.#recentPurges.length > maxRecentPurges) {
      const oldest = this.#recentPurges.shift();
      if (oldest !== undefined) this.#flushedUpTo = oldest.seq;
    }
    this.#lastPurgeSeq = lastPurgeSeq;
  }

  /** Removes one response. */
  remove(entry: CacheEntry): void {
    this.#remove(cacheKeyString(entry.key), entry);
  }

  #purgeMatching(target: PurgeTarget): void {
    for (const keyString of this.#keysForTarget(target)) {
      for (const entry of [...(this.#entriesByKey.get(keyString) ?? [])])
        if (isTargeted(entry.key, entry.tags, target)) this.#remove(keyString, entry);
    }
  }

  /** Returns the keys that may have entries targeted by a purge. */
  #keysForTarget(target: PurgeTarget): readonly string[] {
    switch (target.by) {
      case 'all':
        return [...this.#entriesByKey.keys()];
      case 'tag':
        return [...(this.#keysByTag.get(target.tag) ?? [])];
      case 'object':
        return [...(this.#keysByPath.get(target.path) ?? [])];
    }
  }

  #index(table: Map<string, Set<string>>, name: string, keyString: string): void {
    const set = table.get(name);
    if (set === undefined) table.set(name, new Set([keyString]));
    else set.add(keyString);
  }

  #unindex(table: Map<string, Set<string>>, name: string, keyString: string): void {
    const set = table.get(name);
    set?.delete(keyString);
    if (set?.size === 0) table.delete(name);
  }

  #remove(keyString: string, entry: CacheEntry): void {
    const variants = this.#entriesByKey.get(keyString) ?? [];
    const remaining = variants.filter((variant) => variant !== entry);
    if (remaining.length === variants.length) return;
    this.#bytes -= entry.body.length + entryOverheadBytes;
    if (remaining.length > 0) this.#entriesByKey.set(keyString, remaining);
    else {
      this.#entriesByKey.delete(keyString);
      this.#unindex(this.#keysByPath, entry.key.path, keyString);
    }
    for (const tag of entry.tags)
      if (!remaining.some((variant) => variant.tags.includes(tag)))
        this.#unindex(this.#keysByTag, tag, keyString);
  }

  #evict(): void {
    for (const [keyString, variants] of this.#entriesByKey) {
      if (this.#bytes <= this.#maxBytes) return;
      for (const entry of [...variants]) this.#remove(keyString, entry);
    }
  }
}
