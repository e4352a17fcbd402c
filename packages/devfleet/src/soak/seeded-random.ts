/** Random numbers from one seed, for plans that can be repeated. Real processes add randomness of their own. */

import { type RandomState, nextRandom } from '@switchwheel/types';

/** A stream of random draws that is the same for the same seed. */
export class SeededRandom {
  #state: RandomState;

  constructor(seed: number) {
    this.#state = { seed };
  }

  /** A number from 0 up to 1. */
  next(): number {
    const [value, next] = nextRandom(this.#state);
    this.#state = next;
    return value;
  }

  /** A number between two bounds. */
  between(min: number, max: number): number {
    return min + this.next() * (max - min);
  }

  /** True with a probability from 0 to 1. */
  happens(probability: number): boolean {
    return this.next() < probability;
  }

  /** One of a list; throws if the list is empty. */
  pick<T>(candidates: readonly T[]): T {
    const candidate = candidates[Math.floor(this.next() * candidates.length)];
    if (candidate === undefined) throw new Error('nothing to choose from');
    return candidate;
  }
}
