/** Error responses of an edge that forwards to shields: the kind of error, and whether the request ran. */

import type Koa from 'koa';
import { type ErrorKind, errorResponseFor } from '@switchwheel/types';

/** Writes an error response; a `retryMs` of 0 leaves the time to come back to the kind of error. */
export const sendErrorResponse = (
  ctx: Koa.Context,
  kind: ErrorKind,
  text: string,
  retryMs: number,
): void => {
  const { status, retryAfter, didNotRun } = errorResponseFor(kind);
  // To a client both mean that the outcome is not known.
  const publicKind = kind === 'slow' || kind === 'lost' ? 'unknown' : kind;
  ctx.status = status;
  ctx.set('cache-control', 'no-store');
  ctx.set('switchwheel-kind', publicKind);
  const waitMs = retryMs > 0 ? retryMs : (retryAfter ?? 0) * 1000;
  if (waitMs > 0) ctx.set('retry-after', String(Math.max(1, Math.ceil(waitMs / 1000))));
  ctx.body = {
    kind: publicKind,
    text,
    ran: didNotRun ? 'no' : 'unknown',
    ...(waitMs > 0 ? { retryAfterMs: Math.ceil(waitMs) } : {}),
  };
};

/** Closes the client's connection behind the response: its request can't be read any further. */
export const closeAfterResponse = (ctx: Koa.Context): void => {
  ctx.set('connection', 'close');
};
