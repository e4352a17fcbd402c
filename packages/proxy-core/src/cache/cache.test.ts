/**
 * Guards against serving a wrong variant, an expired or purged response, and against caching private responses.
 */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type Timestamp, addMs, toTimestamp, toSeq } from '@switchwheel/types';
import type { HeaderFields } from '@switchwheel/transport';
import { Cache, type CacheKey, bodyDigest } from './cache.js';
import { freshnessLifetimeMs } from './cache-control.js';

const now = toTimestamp(1000);
const key: CacheKey = { route: 'r', host: 'h', path: '/p', query: '' };
const store = (
  cache: Cache,
  text: string,
  options: {
    readonly fields?: HeaderFields;
    readonly request?: HeaderFields;
    readonly key?: CacheKey;
    readonly tags?: readonly string[];
    readonly purgeSeqAtFetch?: number;
    readonly createdAt?: Timestamp;
  } = {},
): boolean =>
  cache.store(
    {
      key: options.key ?? key,
      status: 200,
      fields: options.fields ?? [],
      body: Buffer.from(text),
      digest: bodyDigest(Buffer.from(text)),
      createdAt: options.createdAt ?? now,
      lifetimeMs: 1000,
      tags: options.tags ?? [],
    },
    options.request ?? [],
    [],
    toSeq(options.purgeSeqAtFetch ?? 0),
    now,
  ) !== undefined;
const find = (cache: Cache, request: HeaderFields = [], at = now): string | undefined =>
  cache.find(key, request, Infinity, at)?.body.toString();

void test('a varying response is served only to requests with the same field values, and its lifetime counts from its creation', () => {
  const cache = new Cache(1_000_000);
  store(cache, 'german', {
    fields: [['vary', 'Accept-Language']],
    request: [['accept-language', 'de']],
  });
  store(cache, 'english', {
    fields: [['vary', 'Accept-Language']],
    request: [['accept-language', 'en']],
  });
  assert.deepEqual(
    [
      find(cache, [['accept-language', 'de']]),
      find(cache, [['accept-language', 'en']]),
      find(cache),
    ],
    ['german', 'english', undefined],
  );
  const agingCache = new Cache(1_000_000);
  store(agingCache, 'x', { createdAt: toTimestamp(500) });
  assert.deepEqual(
    [find(agingCache, [], addMs(now, 499)), find(agingCache, [], addMs(now, 500))],
    ['x', undefined],
  );
});

void test('purges select by object, by tag or everything, and a response fetched before a matching purge is not stored', () => {
  const cache = new Cache(1_000_000);
  const otherKey = { ...key, path: '/q' };
  store(cache, 'a', { tags: ['one'] });
  store(cache, 'b', { key: otherKey, tags: ['two'] });
  cache.purge([{ seq: toSeq(1), aims: [{ by: 'tag', tag: 'one' }] }], false, toSeq(1));
  assert.deepEqual([find(cache), cache.size], [undefined, 1]);
  assert.equal(store(cache, 'late', { tags: ['one'], purgeSeqAtFetch: 0 }), false);
  assert.equal(store(cache, 'fresh', { tags: ['one'], purgeSeqAtFetch: 1 }), true);
  cache.purge([{ seq: toSeq(2), aims: [{ by: 'object', path: '/p' }] }], false, toSeq(2));
  assert.deepEqual([find(cache), cache.size], [undefined, 1]);
  cache.purge([{ seq: toSeq(3), aims: [{ by: 'all' }] }], false, toSeq(3));
  assert.deepEqual([cache.size, cache.bytes], [0, 0]);
  cache.purge([], true, toSeq(9));
  assert.equal(store(cache, 'before the flush', { purgeSeqAtFetch: 8 }), false);
});

void test('private, authorized and Set-Cookie responses are not cached, and the shorter of two lifetimes applies', () => {
  const lifetime = (
    fields: HeaderFields,
    isAuthorized = false,
    routeLifetimeMs?: number,
  ): number | undefined => freshnessLifetimeMs(200, fields, isAuthorized, routeLifetimeMs);
  assert.equal(lifetime([['cache-control', 'max-age=5']]), 5000);
  assert.equal(lifetime([['cache-control', 'max-age=60, s-maxage=9']], false, 4000), 4000);
  assert.equal(lifetime([], false, 700), 700);
  for (const fields of [
    [['cache-control', 'private, max-age=5']],
    [['cache-control', 'no-store']],
    [['set-cookie', 'a=b']],
    [['vary', '*']],
    [],
  ] satisfies HeaderFields[])
    assert.equal(lifetime(fields, false, fields.length === 0 ? undefined : 500), undefined);
  assert.equal(lifetime([['cache-control', 'max-age=5']], true), undefined);
  assert.equal(lifetime([['cache-control', 'public, max-age=5']], true), 5000);
  assert.equal(
    freshnessLifetimeMs(500, [['cache-control', 'max-age=5']], false, undefined),
    undefined,
  );
});

void test('the least recently used entries are evicted first', () => {
  const cache = new Cache(80_000);
  for (let index = 0; index < 12; index += 1)
    store(cache, 'x'.repeat(9000), { key: { ...key, path: `/${index}` } });
  assert.ok(cache.bytes <= 80_000 && cache.size < 12);
  assert.equal(cache.find({ ...key, path: '/0' }, [], Infinity, now), undefined);
  assert.ok(cache.find({ ...key, path: '/11' }, [], Infinity, now) !== undefined);
});
