import got from 'got';
import { type Result, err, ok } from 'true-myth/result';
import type { Address } from '@switchwheel/types';

/** What a registry answered. */
export interface RegistryReply {
  readonly status: number;
  readonly body: unknown;
}

/** Which registries to ask, and for how long. */
export interface RegistryTarget {
  readonly registries: readonly Address[];
  readonly timeoutMs: number;
}

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
 * Asks the registries in turn until one answers. Each write bears an id, so asking the next with the same id is safe.
 */
export const callRegistry = async (
  target: RegistryTarget,
  request: RegistryRequest,
): Promise<Result<RegistryReply, string>> => {
  const lost: string[] = [];
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
      lost.push(`${address}: ${problem instanceof Error ? problem.message : 'no answer'}`);
    }
  }
  return last === undefined ? err(lost.join('; ')) : ok(last);
};
