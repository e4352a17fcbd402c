/** What processes tell each other about origins. */

import * as v from 'valibot';
import * as types from '@switchwheel/types';

const maxSlots = 10_000;

/** One run of an origin, as it announced itself. */
export const originInstance = v.object({
  service: types.serviceName,
  instance: types.instanceId,
  address: types.address,
  release: types.release,
  /** How many requests it takes at once. */
  slots: v.pipe(v.number(), v.integer(), v.minValue(1), v.maxValue(maxSlots)),
  state: v.picklist(['up', 'leaving', 'gone']),
  area: v.optional(types.zoneName),
  /** Grows with every announcement of the instance, so that a late one is recognized. */
  calls: v.optional(types.seq),
  /** For how long after this announcement it is warming up (slow start). */
  coldMs: v.optional(types.durationMs),
  /** Time since the announcement. */
  age: types.durationMs,
});
/** See {@link originInstance}. */
export type OriginInstance = v.InferOutput<typeof originInstance>;
