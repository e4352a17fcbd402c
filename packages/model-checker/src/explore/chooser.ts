import { type RandomState, nextRandom } from '@switchwheel/types';

/** Random choices from one seed. */
export class Chooser {
  #dice: RandomState;

  constructor(seed: number) {
    this.#dice = { seed: Math.imul(seed + 1, 0x9e3779b1) >>> 0 };
  }

  /** From 0 up to 1. */
  number(): number {
    const [value, dice] = nextRandom(this.#dice);
    this.#dice = dice;
    return value;
  }

  /** A whole number, both ends among the possible. */
  between(low: number, high: number): number {
    return low + Math.floor(this.number() * (high - low + 1));
  }

  one<T>(first: T, ...others: readonly T[]): T {
    const all = [first, ...others];
    return all[Math.floor(this.number() * all.length)] ?? first;
  }

  hit(share: number): boolean {
    return this.number() < share;
  }
}
