/**
 * Bodies of operators' commands as they come from a registry.
 */

import * as v from 'valibot';
import {
  address,
  generation as generationSchema,
  hash as hashSchema,
  nodeId,
  release,
  serviceName,
} from '@switchwheel/types';
import { purgeTarget } from '@switchwheel/transport';

/** A configuration: its hash, the hashes of its chunks in order, and the number that the operator gives it. */
export const applyBody = v.object({
  hash: hashSchema,
  order: v.array(hashSchema),
  number: v.optional(generationSchema),
});

/** What a purge removes from the caches. */
export const purgeBody = v.pipe(v.array(purgeTarget), v.minLength(1), v.maxLength(10_000));

/** One voter to add, to remove, or to move to another address. */
export const electorateBody = v.object({
  add: v.optional(v.object({ node: nodeId, address })),
  remove: v.optional(nodeId),
});

/** A service, the release that it is to move to, and the time for that in milliseconds. */
export const releaseBody = v.object({
  service: serviceName,
  target: release,
  spanMs: v.pipe(v.number(), v.minValue(1000), v.maxValue(86_400_000)),
});

/** The body as a schema has it; undefined if it is no JSON or doesn't fit. */
export const parse = <T>(schema: v.GenericSchema<unknown, T>, text: string): T | undefined => {
  try {
    const parsed = v.safeParse(schema, JSON.parse(text));
    return parsed.success ? parsed.output : undefined;
  } catch {
    return undefined;
  }
};
