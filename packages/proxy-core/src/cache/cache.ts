import { createHash } from 'node:crypto';
import { type Timestamp, type Seq, noSeq } from '@switchwheel/types';
import type { PurgeTarget, HeaderFields, Purge } from '@switchwheel/transport';
import { fieldValue, varyNames } from './header-fields.js';

/** What a stored result is known by. */
export interface CacheKey {
  readonly route: string;
  readonly host: string;
  readonly path: string;
  readonly query: string;
}

/** A stored result: whole, with its digest. */
export interface CacheEntry {
  readonly key: CacheKey;
  readonly vary: ReadonlyMap<string, string>;
  readonly status: number;
  readonly fields: HeaderFields;
  readonly body: Buffer;
  readonly digest: string;
  /** When the origin made it, at the latest guess that is safe. */
  readonly createdAt: Timestamp;
  readonly lifetimeMs: number;
  readonly tags: readonly string[];
}

const cacheKeyString = (key: CacheKey): string =>
  `${key.route}\n${key.host}\n${key.path}\n${key.query}`;
export const bodyDigest = (body: Uint8Array): string =>
  createHash('sha256').update(body).digest('base64');

const matches = (key: CacheKey, tags: readonly string[], aim: PurgeTarget): boolean => {
  switch (aim.by) {
    case 'all':
      return true;
    case 'tag':
      return tags.includes(aim.tag);
    case 'object':
      return aim.path === key.path && (aim.host === undefined || aim.host === key.host);
  }
};

/** The values of the request that a result depends on. */
const varyValues = (names: readonly string[], request: HeaderFields): ReadonlyMap<string, string> =>
  new Map(names.map((name) => [name, fieldValue(request, name) ?? '']));

/**
 * A cache of whole results, in the order of their last use. It is a class with tables that change in place:
 * copying thousands of entries for each request would cost more than the request.
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

  constructor(most: number) {
    this.#maxBytes = most;
  }

  get bytes(): number {
    return this.#bytes;
  }

  get size(): number {
    return this.#entriesByKey.size;
  }

  /** The last purge acted on. */
  get lastPurgeSeq(): Seq {
    return this.#lastPurgeSeq;
  }

  /** Finds a result that is still good for this request. */
  find(key: CacheKey, request: HeaderFields, now: Timestamp): CacheEntry | undefined {
    const id = cacheKeyString(key);
    const row = this.#entriesByKey.get(id);
    if (row === undefined) return undefined;
    const found = row.find((one) =>
      [...one.vary].every(([name, value]) => (fieldValue(request, name) ?? '') === value),
    );
    if (found === undefined) return undefined;
    if (now - found.createdAt >= found.lifetimeMs) {
      this.#remove(id, found);
      return undefined;
    }
    this.#entriesByKey.delete(id);
    this.#entriesByKey.set(id, row);
    return found;
  }

  /** Stores a result, unless a purge that came since it was fetched is meant for it. */
  store(
    entry: Omit<CacheEntry, 'vary'>,
    request: HeaderFields,
    extraVary: readonly string[],
    fetchedAt: Seq,
    now: Timestamp,
  ): CacheEntry | undefined {
    const { key, tags } = entry;
    if (
      entry.body.length > this.#maxBytes / 8 ||
      now - entry.createdAt >= entry.lifetimeMs ||
      this.isPurgedSince(key, tags, fetchedAt)
    )
      return undefined;
    const whole: CacheEntry = {
      ...entry,
      vary: varyValues([...new Set([...varyNames(entry.fields), ...extraVary])], request),
    };
    const id = cacheKeyString(key);
    const row = this.#entriesByKey.get(id) ?? [];
    const same = row.find(
      (one) =>
        one.vary.size === whole.vary.size &&
        [...one.vary].every(([name, value]) => whole.vary.get(name) === value),
    );
    if (same !== undefined) this.#remove(id, same);
    const rest = this.#entriesByKey.get(id) ?? [];
    this.#entriesByKey.delete(id);
    this.#entriesByKey.set(id, [...rest, whole].slice(-32));
    this.#index(this.#keysByPath, key.path, id);
    for (const tag of tags) this.#index(this.#keysByTag, tag, id);
    this.#bytes += whole.body.length + 512;
    this.#evict();
    return whole;
  }

  /** Whether a purge after the one named is meant for an object. */
  isPurgedSince(key: CacheKey, tags: readonly string[], since: Seq): boolean {
    if (since < this.#flushedUpTo) return true;
    return this.#recentPurges.some(
      (purge) => purge.seq > since && purge.aims.some((aim) => matches(key, tags, aim)),
    );
  }

  /** Acts on purges; `flush` empties the cache, as some were missed. */
  purge(purges: readonly Purge[], flush: boolean, top: Seq): void {
    if (flush) {
      this.#entriesByKey.clear();
      this.#keysByPath.clear();
      this.#keysByTag.clear();
      this.#bytes = 0;
      this.#recentPurges.splice(0);
      this.#flushedUpTo = top;
    }
    for (const purge of purges) {
      for (const aim of purge.aims) this.#purgeMatching(aim);
      this.#recentPurges.push(purge);
    }
    while (this.#recentPurges.length > 256) {
      const old = this.#recentPurges.shift();
      if (old !== undefined) this.#flushedUpTo = old.seq;
    }
    this.#lastPurgeSeq = top;
  }

  /** Drops one result. */
  remove(entry: CacheEntry): void {
    this.#remove(cacheKeyString(entry.key), entry);
  }

  #purgeMatching(aim: PurgeTarget): void {
    const ids =
      aim.by === 'all'
        ? [...this.#entriesByKey.keys()]
        : [
            ...((aim.by === 'tag'
              ? this.#keysByTag.get(aim.tag)
              : this.#keysByPath.get(aim.path)) ?? []),
          ];
    for (const id of ids) {
      for (const one of [...(this.#entriesByKey.get(id) ?? [])])
        if (matches(one.key, one.tags, aim)) this.#remove(id, one);
    }
  }

  #index(table: Map<string, Set<string>>, name: string, id: string): void {
    const set = table.get(name);
    if (set === undefined) table.set(name, new Set([id]));
    else set.add(id);
  }

  #unindex(table: Map<string, Set<string>>, name: string, id: string): void {
    const set = table.get(name);
    set?.delete(id);
    if (set?.size === 0) table.delete(name);
  }

  #remove(id: string, entry: CacheEntry): void {
    const row = this.#entriesByKey.get(id) ?? [];
    const rest = row.filter((one) => one !== entry);
    if (rest.length === row.length) return;
    this.#bytes -= entry.body.length + 512;
    if (rest.length > 0) this.#entriesByKey.set(id, rest);
    else {
      this.#entriesByKey.delete(id);
      this.#unindex(this.#keysByPath, entry.key.path, id);
    }
    for (const tag of entry.tags)
      if (!rest.some((one) => one.tags.includes(tag))) this.#unindex(this.#keysByTag, tag, id);
  }

  #evict(): void {
    for (const [id, row] of this.#entriesByKey) {
      if (this.#bytes <= this.#maxBytes) return;
      for (const one of [...row]) this.#remove(id, one);
    }
  }
}
