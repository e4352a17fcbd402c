import got from 'got';
import { type Result, err, ok } from 'true-myth/result';
import type { Address } from '@switchwheel/types';

/** What a registry answered. */
export interface Reply {
  readonly status: number;
  readonly body: unknown;
}

/** Which registries to ask, and for how long. */
export interface Reach {
  readonly registries: readonly Address[];
  readonly spanMs: number;
}

export interface Request {
  readonly method: 'GET' | 'PUT' | 'POST';
  readonly path: string;
  readonly body?: string;
}

const parse = (text: string): unknown => {
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
export const call = async (reach: Reach, request: Request): Promise<Result<Reply, string>> => {
  const lost: string[] = [];
  let last: Reply | undefined;
  for (const address of reach.registries) {
    try {
      const reply = await got(`http://${address}${request.path}`, {
        method: request.method,
        retry: { limit: 0 },
        throwHttpErrors: false,
        followRedirect: false,
        timeout: { connect: 1000, request: reach.spanMs },
        ...(request.body === undefined
          ? {}
          : { body: request.body, headers: { 'content-type': 'application/json' } }),
      });
      const body = parse(reply.body);
      if (reply.statusCode !== 503 && reply.statusCode !== 504)
        return ok({ status: reply.statusCode, body });
      last = { status: reply.statusCode, body };
    } catch (problem) {
      lost.push(`${address}: ${problem instanceof Error ? problem.message : 'no answer'}`);
    }
  }
  return last === undefined ? err(lost.join('; ')) : ok(last);
};
