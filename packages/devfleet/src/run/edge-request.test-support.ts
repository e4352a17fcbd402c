/** Requests of tests to an edge of a real fleet, and what its error bodies say. */

import got, { type Response } from 'got';
import * as v from 'valibot';
import type { Machine } from '../fleet/machine.js';

/** Sends one request to an edge, without retries; every status is an answer. */
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

/** The error kind that the body of a failed response names. */
export const errorKindOf = (body: Buffer): string =>
  v.parse(v.object({ kind: v.string() }), JSON.parse(body.toString())).kind;
