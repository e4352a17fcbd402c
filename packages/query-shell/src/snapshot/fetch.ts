/** Fetches JSON from the HTTP addresses of processes. Every failure is treated as a missing response. */

import got from 'got';
import * as v from 'valibot';

/** Number of registries that are tried for a stored part before it counts as missing. */
const maxRegistryAttempts = 3;

const fetchJson = async (address: string, path: string, timeoutMs: number): Promise<unknown> => {
  const reply = await got(`http://${address}${path}`, {
    retry: { limit: 0 },
    throwHttpErrors: false,
    timeout: { request: timeoutMs },
  }).catch(() => undefined);
  if (reply?.statusCode !== 200) return undefined;
  try {
    const body: unknown = JSON.parse(reply.body);
    return body;
  } catch {
    return undefined;
  }
};

/** Fetches one path; undefined unless the response is a 200 within the timeout, with a body that matches the schema. */
export const fetchAs = async <T>(
  schema: v.GenericSchema<unknown, T>,
  address: string,
  path: string,
  timeoutMs: number,
): Promise<T | undefined> => {
  const parsed = v.safeParse(schema, await fetchJson(address, path, timeoutMs));
  return parsed.success ? parsed.output : undefined;
};

/** Returns the first valid response; the addresses are tried in order, up to `maxRegistryAttempts`. */
export const fetchFirst = async <T>(
  schema: v.GenericSchema<unknown, T>,
  addresses: readonly string[],
  path: string,
  timeoutMs: number,
): Promise<T | undefined> => {
  for (const address of addresses.slice(0, maxRegistryAttempts)) {
    const body = await fetchAs(schema, address, path, timeoutMs);
    if (body !== undefined) return body;
  }
  return undefined;
};
