/** Test helpers: requests to an edge and parsing of its error responses. */

import got, { type Response } from 'got';
import * as v from 'valibot';
import type { Machine } from '../fleet/machine.js';

/** Sends one request to an edge, without retries; resolves for every status. */
export const sendToEdge = (
  edge: Machine,
  path: string,
  options: Record<string, unknown> = {},
): Promise<Response<Buffer>> =>
  got(`http://${edge.httpAddress}${path}`, {
    retry: { limit: 0 },
    throwHttpErrors: false,
    decompress: false,
    responseType: 'buffer',
    ...options,
  });

/** Parses the error kind from the body of an error response. */
export const errorKindOf = (body: Buffer): string =>
  v.parse(v.object({ kind: v.string() }), JSON.parse(body.toString())).kind;
