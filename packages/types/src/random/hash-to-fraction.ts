/** Deterministic mapping of strings to the unit interval, e.g. to select a fixed share of requests. */

const fnvOffsetBasis = 0x811c9dc5;
const fnvPrime = 0x01000193;

/** Maps a string to a number from 0 (inclusive) to 1 (exclusive) by its 32-bit FNV-1a hash. */
export const hashToFraction = (text: string): number => {
  let hash = fnvOffsetBasis;
  for (let index = 0; index < text.length; index += 1)
    hash = Math.imul(hash ^ text.charCodeAt(index), fnvPrime);
  return (hash >>> 0) / 2 ** 32;
};
