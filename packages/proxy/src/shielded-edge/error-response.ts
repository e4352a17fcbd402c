/** Error responses of an edge that forwards requests to shields. */

import type Koa from 'koa';
import { type ErrorKind, errorResponseFor } from '@switchwheel/types';

/** Writes an error response; with a `retryMs` of 0 the retry delay is the default of the error kind. */
export const sendErrorResponse = (
  ctx: Koa.Context,
  kind: ErrorKind,
  text: string,
  retryMs: number,
): void => {
  const { status, retryAfter, didNotRun } = errorResponseFor(kind);
  // For a client both mean that the outcome is unknown.
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

/** Closes the client's connection after the response, as the rest of its request can't be read. */
export const closeAfterResponse = (ctx: Koa.Context): void => {
  ctx.set('connection', 'close');
};
