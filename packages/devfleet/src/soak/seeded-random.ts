/** Seeded random source, for reproducible schedules; the timing of real processes still varies. */

import { type RandomState, nextRandom } from '@switchwheel/types';

/** Random source whose draws depend only on the seed. */
export class SeededRandom {
  #state: RandomState;

  constructor(seed: number) {
    this.#state = { seed };
  }

  /** Returns a number from 0 up to, but not including, 1. */
  next(): number {
    const [value, nextState] = nextRandom(this.#state);
    this.#state = nextState;
    return value;
  }

  /** Returns a number from `min` up to, but not including, `max`. */
  between(min: number, max: number): number {
    return min + this.next() * (max - min);
  }

  /** Returns true with the given probability. */
  happens(probability: number): boolean {
    return this.next() < probability;
  }

  /** Returns a random element; throws if there is none. */
  pick<T>(candidates: readonly T[]): T {
    const candidate = candidates[Math.floor(this.next() * candidates.length)];
    if (candidate === undefined) throw new Error('cannot pick a random element of an empty list');
    return candidate;
  }
}
