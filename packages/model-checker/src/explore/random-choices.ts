/** Seeded random source of random walks. */

import { type RandomState, nextRandom } from '@switchwheel/types';

/** Random source whose choices depend only on the seed. */
export class RandomChoices {
  #state: RandomState;

  constructor(seed: number) {
    this.#state = { seed: Math.imul(seed + 1, 0x9e3779b1) >>> 0 };
  }

  /** Returns a number from 0 up to, but not including, 1. */
  next(): number {
    const [value, nextState] = nextRandom(this.#state);
    this.#state = nextState;
    return value;
  }

  /** Returns an integer from `low` to `high`, both inclusive. */
  integer(low: number, high: number): number {
    return low + Math.floor(this.next() * (high - low + 1));
  }

  pick<T>(first: T, ...others: readonly T[]): T {
    const options = [first, ...others];
    return options[Math.floor(this.next() * options.length)] ?? first;
  }

  happens(probability: number): boolean {
    return this.next() < probability;
  }
}
