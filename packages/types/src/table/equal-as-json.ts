/** Structural equality of values as JSON would carry them. */

import { isDeepStrictEqual } from 'node:util';

const throughJson = (raw: unknown): unknown => JSON.parse(JSON.stringify(raw));

/** Whether two values serialize to the same JSON, irrespective of the order of their members. */
export const equalAsJson = (left: object, right: object): boolean =>
  isDeepStrictEqual(throughJson(left), throughJson(right));
