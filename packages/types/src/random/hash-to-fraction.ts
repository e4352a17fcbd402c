/** Deterministic placement of a text on the unit interval, e.g. to pick a fixed share of requests. */

const fnvOffsetBasis = 0x811c9dc5;
const fnvPrime = 0x01000193;

/** Maps a text to a fixed number from 0 (inclusive) to 1 (exclusive), by 32-bit FNV-1a. */
export const hashToFraction = (text: string): number => {
  let hash = fnvOffsetBasis;
  for (let index = 0; index < text.length; index += 1)
    hash = Math.imul(hash ^ text.charCodeAt(index), fnvPrime);
  return (hash >>> 0) / 2 ** 32;
};
