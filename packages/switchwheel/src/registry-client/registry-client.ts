/** HTTP client of the operators' command line, with failover between registries. */

import got from 'got';
import { type Result, err, ok } from 'true-myth/result';
import type { Address } from '@switchwheel/types';

/** Status and parsed body of a registry's response. */
export interface RegistryReply {
  readonly status: number;
  readonly body: unknown;
}

/** Registries in the order in which they are tried, and the time limit for each response. */
export interface RegistryTarget {
  readonly registries: readonly Address[];
  readonly timeoutMs: number;
}

/** Request to a registry; `body` is JSON text. */
export interface RegistryRequest {
  readonly method: 'GET' | 'PUT' | 'POST';
  readonly path: string;
  readonly body?: string;
}

const parseBody = (text: string): unknown => {
  try {
    const body: unknown = JSON.parse(text);
    return body;
  } catch {
    return { kind: 'foreign', text: text.slice(0, 200) };
  }
};

/**
 * Sends a request to each registry in turn until one responds with a status other than 503 or 504. If none does, returns
 * the last response; if none responded at all, the error lists the reason for each. Writes carry an idempotency key, so
 * that a retry at the next registry is safe.
 */
export const callRegistry = async (
  target: RegistryTarget,
  request: RegistryRequest,
): Promise<Result<RegistryReply, string>> => {
  const failures: string[] = [];
  let lastReply: RegistryReply | undefined;
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
      lastReply = { status: reply.statusCode, body };
    } catch (error) {
      failures.push(`${address}: ${error instanceof Error ? error.message : 'no response'}`);
    }
  }
  return lastReply === undefined ? err(failures.join('; ')) : ok(lastReply);
};
