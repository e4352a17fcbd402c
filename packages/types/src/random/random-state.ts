/** A seeded state of chance; each throw gives the next state, so reducers stay pure. */
export interface RandomState {
  readonly seed: number;
}

/** Throws once: a number from 0 up to 1, and the dice after the throw. */
export const nextRandom = (dice: RandomState): readonly [number, RandomState] => {
  const seed = (dice.seed + 0x6d2b79f5) >>> 0;
  let mix = Math.imul(seed ^ (seed >>> 15), seed | 1);
  mix ^= mix + Math.imul(mix ^ (mix >>> 7), mix | 61);
  return [((mix ^ (mix >>> 14)) >>> 0) / 4294967296, { seed }];
};
