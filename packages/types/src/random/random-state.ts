/** A seeded random source as data (mulberry32), so that reducers stay pure and runs repeat. */

/** The state of a random source; every draw yields the next state. */
export interface RandomState {
  readonly seed: number;
}

/** Draws once: a number from 0 (inclusive) to 1 (exclusive), and the state after the draw. */
export const nextRandom = (state: RandomState): readonly [number, RandomState] => {
  const seed = (state.seed + 0x6d2b79f5) >>> 0;
  let mix = Math.imul(seed ^ (seed >>> 15), seed | 1);
  mix ^= mix + Math.imul(mix ^ (mix >>> 7), mix | 61);
  return [((mix ^ (mix >>> 14)) >>> 0) / 4294967296, { seed }];
};
