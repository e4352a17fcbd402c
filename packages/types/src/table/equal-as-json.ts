import { isDeepStrictEqual } from 'node:util';

const plain = (raw: unknown): unknown => JSON.parse(JSON.stringify(raw));

/** Whether two values are the same once written down, in whatever order their members stand. */
export const equalAsJson = (one: object, two: object): boolean =>
  isDeepStrictEqual(plain(one), plain(two));
