/** Schema helpers that frames and records share. */

import * as v from 'valibot';

/** Returns the schema of a frame's discriminant. */
export const kind = <K extends string>(name: K): v.LiteralSchema<K, undefined> => v.literal(name);

/** Schema of a byte array. */
export const bytes = v.custom<Uint8Array>((raw) => raw instanceof Uint8Array, 'bytes');

/** Schema of a non-negative integer. */
export const count = v.pipe(v.number(), v.integer(), v.minValue(0));

/** Schema of a number from 0 to 1. */
export const fraction = v.pipe(v.number(), v.minValue(0), v.maxValue(1));
