/** Chance from one seed, for plans that can be made again. Real processes add chance of their own. */
import { type RandomState, nextRandom } from '@switchwheel/types';

export class SeededRandom {
  #state: RandomState;

  constructor(seed: number) {
    this.#state = { seed };
  }

  /** A number from 0 up to 1. */
  next(): number {
    const [value, dice] = nextRandom(this.#state);
    this.#state = dice;
    return value;
  }

  between(min: number, max: number): number {
    return min + this.next() * (max - min);
  }

  happens(probability: number): boolean {
    return this.next() < probability;
  }

  pick<T>(candidates: readonly T[]): T {
    const found = candidates[Math.floor(this.next() * candidates.length)];
    if (found === undefined) throw new Error('nothing to choose from');
    return found;
  }
}
