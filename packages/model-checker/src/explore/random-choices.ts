import { type RandomState, nextRandom } from '@switchwheel/types';

/** Random choices from one seed. */
export class RandomChoices {
  #state: RandomState;

  constructor(seed: number) {
    this.#state = { seed: Math.imul(seed + 1, 0x9e3779b1) >>> 0 };
  }

  /** From 0 up to 1. */
  next(): number {
    const [value, dice] = nextRandom(this.#state);
    this.#state = dice;
    return value;
  }

  /** A whole number, both ends among the possible. */
  integer(low: number, high: number): number {
    return low + Math.floor(this.next() * (high - low + 1));
  }

  pick<T>(first: T, ...others: readonly T[]): T {
    const all = [first, ...others];
    return all[Math.floor(this.next() * all.length)] ?? first;
  }

  happens(probability: number): boolean {
    return this.next() < probability;
  }
}
