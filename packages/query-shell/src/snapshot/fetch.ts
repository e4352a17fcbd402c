/** Reads JSON from the HTTP addresses of processes; whatever goes wrong counts as no answer. */

import got from 'got';
import * as v from 'valibot';

/** How many registries are tried for a stored part before it counts as missing. */
const maxRegistriesTried = 3;

const fetchJson = async (address: string, path: string, timeoutMs: number): Promise<unknown> => {
  const reply = await got(`http://${address}${path}`, {
    retry: { limit: 0 },
    throwHttpErrors: false,
    timeout: { request: timeoutMs },
  }).catch(() => undefined);
  if (reply?.statusCode !== 200) return undefined;
  try {
    const raw: unknown = JSON.parse(reply.body);
    return raw;
  } catch {
    return undefined;
  }
};

/** One request; undefined unless it is answered with 200 and a body of the schema within the time. */
export const fetchAs = async <T>(
  schema: v.GenericSchema<unknown, T>,
  address: string,
  path: string,
  timeoutMs: number,
): Promise<T | undefined> => {
  const parsed = v.safeParse(schema, await fetchJson(address, path, timeoutMs));
  return parsed.success ? parsed.output : undefined;
};

/** The first answer of a few addresses that are tried in order. */
export const fetchFirst = async <T>(
  schema: v.GenericSchema<unknown, T>,
  addresses: readonly string[],
  path: string,
  timeoutMs: number,
): Promise<T | undefined> => {
  for (const address of addresses.slice(0, maxRegistriesTried)) {
    const answer = await fetchAs(schema, address, path, timeoutMs);
    if (answer !== undefined) return answer;
  }
  return undefined;
};
