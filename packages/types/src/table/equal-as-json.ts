/** Structural equality of values after JSON serialization. */

import { isDeepStrictEqual } from 'node:util';

const throughJson = (raw: unknown): unknown => JSON.parse(JSON.stringify(raw));

/** Whether two values serialize to the same JSON, regardless of the order of members. */
export const equalAsJson = (left: object, right: object): boolean =>
  isDeepStrictEqual(throughJson(left), throughJson(right));
