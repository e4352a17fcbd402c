/** Records on origins. */

import * as v from 'valibot';
import * as types from '@switchwheel/types';

const maxSlots = 10_000;

/** Origin instance, i.e. one run of an origin, as it announced itself. */
export const originInstance = v.object({
  service: types.serviceName,
  instance: types.instanceId,
  address: types.address,
  release: types.release,
  /** Maximum number of concurrent requests. */
  slots: v.pipe(v.number(), v.integer(), v.minValue(1), v.maxValue(maxSlots)),
  state: v.picklist(['up', 'leaving', 'gone']),
  area: v.optional(types.zoneName),
  /** Sequence number of the announcement, so that an outdated one is recognized. */
  calls: v.optional(types.seq),
  /** Duration of its slow start, from this announcement on. */
  coldMs: v.optional(types.durationMs),
  /** Time since the announcement. */
  age: types.durationMs,
});
/** Value of {@link originInstance}. */
export type OriginInstance = v.InferOutput<typeof originInstance>;
