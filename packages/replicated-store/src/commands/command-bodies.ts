/**
 * Schemas for the bodies of operators' commands as forwarded by registries.
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

/** Configuration to apply: its hash, the hashes of its chunks in order, and optionally its generation. */
export const applyBody = v.object({
  hash: hashSchema,
  order: v.array(hashSchema),
  number: v.optional(generationSchema),
});

/** Targets of a purge. */
export const purgeBody = v.pipe(v.array(purgeTarget), v.minLength(1), v.maxLength(10_000));

/** Voter to add, to remove, or to move to another address. */
export const electorateBody = v.object({
  add: v.optional(v.object({ node: nodeId, address })),
  remove: v.optional(nodeId),
});

/** Release rollout to request: the service, its target release, and the duration of the rollout in milliseconds. */
export const releaseBody = v.object({
  service: serviceName,
  target: release,
  spanMs: v.pipe(v.number(), v.minValue(1000), v.maxValue(86_400_000)),
});

/** Parses a JSON body by a schema; undefined if it is no JSON or does not match. */
export const parse = <T>(schema: v.GenericSchema<unknown, T>, text: string): T | undefined => {
  try {
    const parsed = v.safeParse(schema, JSON.parse(text));
    return parsed.success ? parsed.output : undefined;
  } catch {
    return undefined;
  }
};
