/** The HTTP client of the operators' command line: one request, tried at one registry after the other. */

import got from 'got';
import { type Result, err, ok } from 'true-myth/result';
import type { Address } from '@switchwheel/types';

/** The status and parsed body of a registry's response. */
export interface RegistryReply {
  readonly status: number;
  readonly body: unknown;
}

/** Which registries to try, in order, and how long to wait for each. */
export interface RegistryTarget {
  readonly registries: readonly Address[];
  readonly timeoutMs: number;
}

/** One request to a registry; `body` is JSON text. */
export interface RegistryRequest {
  readonly method: 'GET' | 'PUT' | 'POST';
  readonly path: string;
  readonly body?: string;
}

const parseBody = (text: string): unknown => {
  try {
    const raw: unknown = JSON.parse(text);
    return raw;
  } catch {
    return { kind: 'foreign', text: text.slice(0, 200) };
  }
};

/**
 * Tries the registries in turn until one responds with anything but 503 or 504; the last such response stands if none
 * does. Each write bears an id, so that a retry at the next registry is safe. The error lists why each was unreachable.
 */
export const callRegistry = async (
  target: RegistryTarget,
  request: RegistryRequest,
): Promise<Result<RegistryReply, string>> => {
  const failures: string[] = [];
  let last: RegistryReply | undefined;
  for (const address of target.registries) {
    try {
      const reply = await got(`http://${address}${request.path}`, {
        method: request.method,
        retry: { limit: 0 },
        throwHttpErrors: false,
        followRedirect: false,
        timeout: { connect: 1000, request: target.timeoutMs },
        ...(request.body === undefined
          ? {}
          : { body: request.body, headers: { 'content-type': 'application/json' } }),
      });
      const body = parseBody(reply.body);
      if (reply.statusCode !== 503 && reply.statusCode !== 504)
        return ok({ status: reply.statusCode, body });
      last = { status: reply.statusCode, body };
    } catch (problem) {
      failures.push(`${address}: ${problem instanceof Error ? problem.message : 'no answer'}`);
    }
  }
  return last === undefined ? err(failures.join('; ')) : ok(last);
};
