import { createHash } from 'node:crypto';
import { type Timestamp, type Seq, noSeq } from '@switchwheel/types';
import type { Aim, Fields, Purge } from '@switchwheel/transport';
import { fieldOf, varyOf } from './fields.js';

/** What a stored result is known by. */
export interface CacheKey {
  readonly route: string;
  readonly host: string;
  readonly path: string;
  readonly query: string;
}

/** A stored result: whole, with its digest. */
export interface Entry {
  readonly key: CacheKey;
  readonly vary: ReadonlyMap<string, string>;
  readonly status: number;
  readonly fields: Fields;
  readonly body: Buffer;
  readonly digest: string;
  /** When the origin made it, at the latest guess that is safe. */
  readonly born: Timestamp;
  readonly lifetime: number;
  readonly tags: readonly string[];
}

const idOf = (key: CacheKey): string => `${key.route}\n${key.host}\n${key.path}\n${key.query}`;
export const digestOf = (body: Uint8Array): string =>
  createHash('sha256').update(body).digest('base64');

const matches = (key: CacheKey, tags: readonly string[], aim: Aim): boolean => {
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
const varyValues = (names: readonly string[], request: Fields): ReadonlyMap<string, string> =>
  new Map(names.map((name) => [name, fieldOf(request, name) ?? '']));

/**
 * A cache of whole results, in the order of their last use. It is a class with tables that change in place:
 * copying thousands of entries for each request would cost more than the request.
 */
export class Cache {
  readonly #rows = new Map<string, Entry[]>();
  readonly #byPath = new Map<string, Set<string>>();
  readonly #byTag = new Map<string, Set<string>>();
  readonly #recent: Purge[] = [];
  readonly #most: number;
  #bytes = 0;
  #flushed: Seq = noSeq;
  #top: Seq = noSeq;

  constructor(most: number) {
    this.#most = most;
  }

  get bytes(): number {
    return this.#bytes;
  }

  get size(): number {
    return this.#rows.size;
  }

  /** The last purge acted on. */
  get top(): Seq {
    return this.#top;
  }

  /** Finds a result that is still good for this request. */
  find(key: CacheKey, request: Fields, now: Timestamp): Entry | undefined {
    const id = idOf(key);
    const row = this.#rows.get(id);
    if (row === undefined) return undefined;
    const found = row.find((one) =>
      [...one.vary].every(([name, value]) => (fieldOf(request, name) ?? '') === value),
    );
    if (found === undefined) return undefined;
    if (now - found.born >= found.lifetime) {
      this.#remove(id, found);
      return undefined;
    }
    this.#rows.delete(id);
    this.#rows.set(id, row);
    return found;
  }

  /** Stores a result, unless a purge that came since it was fetched is meant for it. */
  store(
    entry: Omit<Entry, 'vary'>,
    request: Fields,
    extraVary: readonly string[],
    fetchedAt: Seq,
    now: Timestamp,
  ): Entry | undefined {
    const { key, tags } = entry;
    if (
      entry.body.length > this.#most / 8 ||
      now - entry.born >= entry.lifetime ||
      this.purgedSince(key, tags, fetchedAt)
    )
      return undefined;
    const whole: Entry = {
      ...entry,
      vary: varyValues([...new Set([...varyOf(entry.fields), ...extraVary])], request),
    };
    const id = idOf(key);
    const row = this.#rows.get(id) ?? [];
    const same = row.find(
      (one) =>
        one.vary.size === whole.vary.size &&
        [...one.vary].every(([name, value]) => whole.vary.get(name) === value),
    );
    if (same !== undefined) this.#remove(id, same);
    const rest = this.#rows.get(id) ?? [];
    this.#rows.delete(id);
    this.#rows.set(id, [...rest, whole].slice(-32));
    this.#index(this.#byPath, key.path, id);
    for (const tag of tags) this.#index(this.#byTag, tag, id);
    this.#bytes += whole.body.length + 512;
    this.#trim();
    return whole;
  }

  /** Whether a purge after the one named is meant for an object. */
  purgedSince(key: CacheKey, tags: readonly string[], since: Seq): boolean {
    if (since < this.#flushed) return true;
    return this.#recent.some(
      (purge) => purge.seq > since && purge.aims.some((aim) => matches(key, tags, aim)),
    );
  }

  /** Acts on purges; `flush` empties the cache, as some were missed. */
  purge(purges: readonly Purge[], flush: boolean, top: Seq): void {
    if (flush) {
      this.#rows.clear();
      this.#byPath.clear();
      this.#byTag.clear();
      this.#bytes = 0;
      this.#recent.splice(0);
      this.#flushed = top;
    }
    for (const purge of purges) {
      for (const aim of purge.aims) this.#aimAt(aim);
      this.#recent.push(purge);
    }
    while (this.#recent.length > 256) {
      const old = this.#recent.shift();
      if (old !== undefined) this.#flushed = old.seq;
    }
    this.#top = top;
  }

  /** Drops one result. */
  forget(entry: Entry): void {
    this.#remove(idOf(entry.key), entry);
  }

  #aimAt(aim: Aim): void {
    const ids =
      aim.by === 'all'
        ? [...this.#rows.keys()]
        : [...((aim.by === 'tag' ? this.#byTag.get(aim.tag) : this.#byPath.get(aim.path)) ?? [])];
    for (const id of ids) {
      for (const one of [...(this.#rows.get(id) ?? [])])
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

  #remove(id: string, entry: Entry): void {
    const row = this.#rows.get(id) ?? [];
    const rest = row.filter((one) => one !== entry);
    if (rest.length === row.length) return;
    this.#bytes -= entry.body.length + 512;
    if (rest.length > 0) this.#rows.set(id, rest);
    else {
      this.#rows.delete(id);
      this.#unindex(this.#byPath, entry.key.path, id);
    }
    for (const tag of entry.tags)
      if (!rest.some((one) => one.tags.includes(tag))) this.#unindex(this.#byTag, tag, id);
  }

  #trim(): void {
    for (const [id, row] of this.#rows) {
      if (this.#bytes <= this.#most) return;
      for (const one of [...row]) this.#remove(id, one);
    }
  }
}
