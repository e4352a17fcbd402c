/** Chance from one seed, for plans that can be made again. Real processes add chance of their own. */
import { type RandomState, nextRandom } from '@switchwheel/types';

export class Chance {
  #dice: RandomState;

  constructor(seed: number) {
    this.#dice = { seed };
  }

  /** A number from 0 up to 1. */
  next(): number {
    const [value, dice] = nextRandom(this.#dice);
    this.#dice = dice;
    return value;
  }

  between(least: number, most: number): number {
    return least + this.next() * (most - least);
  }

  hit(share: number): boolean {
    return this.next() < share;
  }

  one<T>(list: readonly T[]): T {
    const found = list[Math.floor(this.next() * list.length)];
    if (found === undefined) throw new Error('nothing to choose from');
    return found;
  }
}
