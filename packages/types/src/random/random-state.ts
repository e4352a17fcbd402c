/** Seeded random source (mulberry32) with explicit state, so that reducers stay pure and runs are reproducible. */

/** State of a random source; each draw returns the next state. */
export interface RandomState {
  readonly seed: number;
}

/** Draws a number from 0 (inclusive) to 1 (exclusive) and returns it with the next state. */
export const nextRandom = (state: RandomState): readonly [number, RandomState] => {
  const seed = (state.seed + 0x6d2b79f5) >>> 0;
  let mix = Math.imul(seed ^ (seed >>> 15), seed | 1);
  mix ^= mix + Math.imul(mix ^ (mix >>> 7), mix | 61);
  return [((mix ^ (mix >>> 14)) >>> 0) / 4294967296, { seed }];
};
