/** HTTP responses of the registry: errors of the HTTP layer, and results of the state machine. */

import type Koa from 'koa';
import { type ErrorKind, errorResponseFor } from '@switchwheel/types';
import type { ValidationIssue } from '@switchwheel/configuration';
import type { RegistryResponse } from '../registry-port.js';

/** Responds with an error of a kind and, if given, the validation issues of the request. */
export const respondWithError = (
  ctx: Koa.Context,
  kind: ErrorKind,
  text: string,
  issues?: readonly ValidationIssue[],
): void => {
  const { status, retryAfter } = errorResponseFor(kind);
  ctx.status = status;
  if (retryAfter !== undefined) ctx.set('retry-after', String(retryAfter));
  ctx.body = { kind, text, ...(issues === undefined ? {} : { faults: issues }) };
};

/** Responds with a result of the state machine. */
export const respondWithResult = (ctx: Koa.Context, { status, body }: RegistryResponse): void => {
  ctx.status = status;
  if (status === 503) ctx.set('retry-after', '1');
  ctx.type = 'application/json';
  ctx.body = body;
};
