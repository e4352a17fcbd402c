/** The only source of randomness in a run. */

import { type RandomState, nextRandom } from '@switchwheel/types';

/** Pseudorandom number generator with a fixed seed. */
export class SeededRandom {
  #state: RandomState;

  constructor(seed: number) {
    this.#state = { seed: seed >>> 0 };
  }

  /** Returns a number from 0 (inclusive) to 1 (exclusive). */
  next(): number {
    const [value, nextState] = nextRandom(this.#state);
    this.#state = nextState;
    return value;
  }

  uniform(low: number, high: number): number {
    return low + this.next() * (high - low);
  }

  integer(low: number, high: number): number {
    return Math.floor(this.uniform(low, high + 1));
  }

  pick<T>(list: readonly T[]): T | undefined {
    return list[Math.floor(this.next() * list.length)];
  }

  happens(probability: number): boolean {
    return this.next() < probability;
  }

  /** Returns an independent generator, so that draws of one component do not affect the others. */
  fork(): SeededRandom {
    return new SeededRandom(Math.floor(this.next() * 4294967296));
  }
}
