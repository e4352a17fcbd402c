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

export const applyBody = v.object({
  hash: hashSchema,
  order: v.array(hashSchema),
  number: v.optional(generationSchema),
});

export const purgeBody = v.pipe(v.array(purgeTarget), v.minLength(1), v.maxLength(10_000));

export const electorateBody = v.object({
  add: v.optional(v.object({ node: nodeId, address })),
  remove: v.optional(nodeId),
});

export const releaseBody = v.object({
  service: serviceName,
  target: release,
  spanMs: v.pipe(v.number(), v.minValue(1000), v.maxValue(86_400_000)),
});

export const parse = <T>(schema: v.GenericSchema<unknown, T>, text: string): T | undefined => {
  try {
    const read = v.safeParse(schema, JSON.parse(text));
    return read.success ? read.output : undefined;
  } catch {
    return undefined;
  }
};
