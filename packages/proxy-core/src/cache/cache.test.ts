import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type Timestamp, addMs, toTimestamp, toSeq } from '@switchwheel/types';
import type { HeaderFields } from '@switchwheel/transport';
import { Cache, type CacheKey, bodyDigest } from './cache.js';
import { freshnessLifetimeMs } from './cache-control.js';

const now = toTimestamp(1000);
const key: CacheKey = { route: 'r', host: 'h', path: '/p', query: '' };
const put = (
  cache: Cache,
  text: string,
  change: {
    readonly fields?: HeaderFields;
    readonly request?: HeaderFields;
    readonly key?: CacheKey;
    readonly tags?: readonly string[];
    readonly since?: number;
    readonly born?: Timestamp;
  } = {},
): boolean =>
  cache.store(
    {
      key: change.key ?? key,
      status: 200,
      fields: change.fields ?? [],
      body: Buffer.from(text),
      digest: bodyDigest(Buffer.from(text)),
      createdAt: change.born ?? now,
      lifetimeMs: 1000,
      tags: change.tags ?? [],
    },
    change.request ?? [],
    [],
    toSeq(change.since ?? 0),
    now,
  ) !== undefined;
const find = (cache: Cache, request: HeaderFields = [], at = now): string | undefined =>
  cache.find(key, request, at)?.body.toString();

void test('results that vary are told only to requests with the same values; lifetimes count from when they were made', () => {
  const cache = new Cache(1_000_000);
  put(cache, 'german', {
    fields: [['vary', 'Accept-Language']],
    request: [['accept-language', 'de']],
  });
  put(cache, 'english', {
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
  const old = new Cache(1_000_000);
  put(old, 'x', { born: toTimestamp(500) });
  assert.deepEqual(
    [find(old, [], addMs(now, 499)), find(old, [], addMs(now, 500))],
    ['x', undefined],
  );
});

void test('purges by object, by tag and of all; what was fetched before a purge is not kept after it', () => {
  const cache = new Cache(1_000_000);
  const other = { ...key, path: '/q' };
  put(cache, 'a', { tags: ['one'] });
  put(cache, 'b', { key: other, tags: ['two'] });
  cache.purge([{ seq: toSeq(1), aims: [{ by: 'tag', tag: 'one' }] }], false, toSeq(1));
  assert.deepEqual([find(cache), cache.size], [undefined, 1]);
  assert.equal(put(cache, 'late', { tags: ['one'], since: 0 }), false);
  assert.equal(put(cache, 'fresh', { tags: ['one'], since: 1 }), true);
  cache.purge([{ seq: toSeq(2), aims: [{ by: 'object', path: '/p' }] }], false, toSeq(2));
  assert.deepEqual([find(cache), cache.size], [undefined, 1]);
  cache.purge([{ seq: toSeq(3), aims: [{ by: 'all' }] }], false, toSeq(3));
  assert.deepEqual([cache.size, cache.bytes], [0, 0]);
  cache.purge([], true, toSeq(9));
  assert.equal(put(cache, 'before the flush', { since: 8 }), false);
});

void test('what may be kept: never private, authorised or set-cookie results, the shorter of two lifetimes', () => {
  const kept = (fields: HeaderFields, authorised = false, own?: number): number | undefined =>
    freshnessLifetimeMs(200, fields, authorised, own);
  assert.equal(kept([['cache-control', 'max-age=5']]), 5000);
  assert.equal(kept([['cache-control', 'max-age=60, s-maxage=9']], false, 4000), 4000);
  assert.equal(kept([], false, 700), 700);
  for (const fields of [
    [['cache-control', 'private, max-age=5']],
    [['cache-control', 'no-store']],
    [['set-cookie', 'a=b']],
    [['vary', '*']],
    [],
  ] satisfies HeaderFields[])
    assert.equal(kept(fields, false, fields.length === 0 ? undefined : 500), undefined);
  assert.equal(kept([['cache-control', 'max-age=5']], true), undefined);
  assert.equal(kept([['cache-control', 'public, max-age=5']], true), 5000);
  assert.equal(
    freshnessLifetimeMs(500, [['cache-control', 'max-age=5']], false, undefined),
    undefined,
  );
});

void test('the least recently used go first when room runs out', () => {
  const cache = new Cache(80_000);
  for (let at = 0; at < 12; at += 1)
    put(cache, 'x'.repeat(9000), { key: { ...key, path: `/${at}` } });
  assert.ok(cache.bytes <= 80_000 && cache.size < 12);
  assert.equal(cache.find({ ...key, path: '/0' }, [], now), undefined);
  assert.ok(cache.find({ ...key, path: '/11' }, [], now) !== undefined);
});
