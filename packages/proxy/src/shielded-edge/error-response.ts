import type Koa from 'koa';
import { type ErrorKind, errorResponseFor } from '@switchwheel/types';

/** Tells a caller what went wrong: the kind says whether the request ran. */
export const sendErrorResponse = (
  ctx: Koa.Context,
  kind: ErrorKind,
  text: string,
  retryMs: number,
): void => {
  const told = errorResponseFor(kind);
  const shown = kind === 'slow' || kind === 'lost' ? 'unknown' : kind;
  ctx.status = told.status;
  ctx.set('cache-control', 'no-store');
  ctx.set('switchwheel-kind', shown);
  const wait = retryMs > 0 ? retryMs : (told.retryAfter ?? 0) * 1000;
  if (wait > 0) ctx.set('retry-after', String(Math.max(1, Math.ceil(wait / 1000))));
  ctx.body = {
    kind: shown,
    text,
    ran: told.didNotRun ? 'no' : 'unknown',
    ...(wait > 0 ? { retryAfterMs: Math.ceil(wait) } : {}),
  };
};

/** Ends the caller's channel after the answer: its request can't be read any further. */
export const closeAfterResponse = (ctx: Koa.Context): void => {
  ctx.set('connection', 'close');
};
