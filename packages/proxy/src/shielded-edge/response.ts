/** Writes complete and cached responses with Koa, including conditional and range requests (RFC 9110, sections 13 and 14). */

import type Koa from 'koa';
import rangeParser from 'range-parser';
import type { Timestamp } from '@switchwheel/types';
import type { HeaderFields } from '@switchwheel/transport';
import type { CacheEntry } from '@switchwheel/proxy-core';

const setFields = (ctx: Koa.Context, fields: HeaderFields): void => {
  const namesSet = new Set<string>();
  for (const [name, value] of fields) {
    if (namesSet.has(name)) ctx.append(name, value);
    else ctx.set(name, value);
    namesSet.add(name);
  }
};

/** Writes a complete response; `source` is sent in the header `switchwheel-from`. */
export const sendResponse = (
  ctx: Koa.Context,
  status: number,
  fields: HeaderFields,
  body: Buffer,
  source: string,
): void => {
  ctx.status = status;
  setFields(ctx, fields);
  ctx.set('switchwheel-from', source);
  if (status === 204 || status === 304) {
    ctx.body = null;
    ctx.status = status;
    return;
  }
  ctx.body = body;
  ctx.length = body.length;
  if (!fields.some(([name]) => name === 'content-type')) ctx.remove('content-type');
};

/** Writes a cached response: complete, as a range, or as not modified, depending on the request's conditions. */
export const sendCachedResponse = (
  ctx: Koa.Context,
  entry: CacheEntry,
  now: Timestamp,
  source: string,
): void => {
  sendResponse(ctx, entry.status, entry.fields, entry.body, source);
  ctx.set('age', String(Math.max(0, Math.floor((now - entry.createdAt) / 1000))));
  if (entry.status !== 200) return;
  if (ctx.fresh) {
    ctx.status = 304;
    ctx.body = null;
    return;
  }
  ctx.set('accept-ranges', 'bytes');
  const range = requestedRange(ctx, entry);
  if (range === 'unsatisfiable') sendUnsatisfiable(ctx, entry);
  else if (range !== undefined) sendRange(ctx, entry, range);
};

interface ByteRange {
  readonly start: number;
  readonly end: number;
}

/** Returns the requested byte range; undefined if the complete object is to be sent. */
const requestedRange = (
  ctx: Koa.Context,
  entry: CacheEntry,
): ByteRange | 'unsatisfiable' | undefined => {
  const range = ctx.get('range');
  if (ctx.method !== 'GET' || range === '') return undefined;
  const condition = ctx.get('if-range');
  const validators = [ctx.response.get('etag'), ctx.response.get('last-modified')];
  if (condition !== '' && !validators.includes(condition)) return undefined;
  const ranges = rangeParser(entry.body.length, range, { combine: true });
  if (ranges === -1) return 'unsatisfiable';
  return ranges === -2 || ranges.type !== 'bytes' || ranges.length !== 1 ? undefined : ranges[0];
};

const sendUnsatisfiable = (ctx: Koa.Context, entry: CacheEntry): void => {
  ctx.status = 416;
  ctx.set('content-range', `bytes */${entry.body.length}`);
  ctx.body = null;
  // Koa sets the status to 204 when the body is set to null.
  ctx.status = 416;
};

const sendRange = (ctx: Koa.Context, entry: CacheEntry, { start, end }: ByteRange): void => {
  ctx.status = 206;
  ctx.set('content-range', `bytes ${start}-${end}/${entry.body.length}`);
  // The digest covers the complete object.
  ctx.remove('content-digest');
  ctx.body = entry.body.subarray(start, end + 1);
  ctx.length = end - start + 1;
};
