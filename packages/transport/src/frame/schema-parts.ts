/** Small schemas that the frames and their records share. */

import * as v from 'valibot';

/** The discriminant of a frame. */
export const kind = <K extends string>(name: K): v.LiteralSchema<K, undefined> => v.literal(name);

/** Raw bytes. */
export const bytes = v.custom<Uint8Array>((raw) => raw instanceof Uint8Array, 'bytes');

/** A whole number from 0. */
export const count = v.pipe(v.number(), v.integer(), v.minValue(0));

/** A fraction from 0 to 1. */
export const fraction = v.pipe(v.number(), v.minValue(0), v.maxValue(1));
