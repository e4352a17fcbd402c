import type Koa from 'koa';
import rangeParser from 'range-parser';
import type { Timestamp } from '@switchwheel/types';
import type { HeaderFields } from '@switchwheel/transport';
import type { CacheEntry } from '@switchwheel/proxy-core';

const setFields = (ctx: Koa.Context, fields: HeaderFields): void => {
  const seen = new Set<string>();
  for (const [name, value] of fields) {
    if (seen.has(name)) ctx.append(name, value);
    else ctx.set(name, value);
    seen.add(name);
  }
};

/** Tells a whole result. */
export const sendResponse = (
  ctx: Koa.Context,
  status: number,
  fields: HeaderFields,
  body: Buffer,
  from: string,
): void => {
  ctx.status = status;
  setFields(ctx, fields);
  ctx.set('switchwheel-from', from);
  if (status === 204 || status === 304) {
    ctx.body = null;
    ctx.status = status;
    return;
  }
  ctx.body = body;
  ctx.length = body.length;
  if (!fields.some(([name]) => name === 'content-type')) ctx.remove('content-type');
};

/** Tells a kept result, as the caller's conditions ask for it. */
export const sendCachedResponse = (
  ctx: Koa.Context,
  entry: CacheEntry,
  now: Timestamp,
  from: string,
): void => {
  sendResponse(ctx, entry.status, entry.fields, entry.body, from);
  ctx.set('age', String(Math.max(0, Math.floor((now - entry.createdAt) / 1000))));
  if (entry.status !== 200) return;
  if (ctx.fresh) {
    ctx.status = 304;
    ctx.body = null;
    return;
  }
  ctx.set('accept-ranges', 'bytes');
  const range = ctx.get('range');
  const condition = ctx.get('if-range');
  if (
    ctx.method !== 'GET' ||
    range === '' ||
    (condition !== '' &&
      condition !== ctx.response.get('etag') &&
      condition !== ctx.response.get('last-modified'))
  )
    return;
  const read = rangeParser(entry.body.length, range, { combine: true });
  if (read === -1) {
    ctx.status = 416;
    ctx.set('content-range', `bytes */${entry.body.length}`);
    ctx.body = null;
    ctx.status = 416;
    return;
  }
  const one = read === -2 || read.type !== 'bytes' || read.length !== 1 ? undefined : read[0];
  if (one === undefined) return;
  ctx.status = 206;
  ctx.set('content-range', `bytes ${one.start}-${one.end}/${entry.body.length}`);
  ctx.remove('content-digest');
  ctx.body = entry.body.subarray(one.start, one.end + 1);
  ctx.length = one.end - one.start + 1;
};
