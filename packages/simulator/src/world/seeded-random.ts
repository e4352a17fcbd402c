/** The only source of randomness in a run. */

import { type RandomState, nextRandom } from '@switchwheel/types';

/** The simulator's own chance: all of it from one seed. */
export class SeededRandom {
  #state: RandomState;

  constructor(seed: number) {
    this.#state = { seed: seed >>> 0 };
  }

  /** From 0 up to 1. */
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

  /** A chance of its own for a part, so that what one part throws does not move the others. */
  fork(): SeededRandom {
    return new SeededRandom(Math.floor(this.next() * 4294967296));
  }
}
