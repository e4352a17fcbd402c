import { type RandomState, nextRandom } from '@switchwheel/types';

/** The simulator's own chance: all of it from one seed. */
export class Chance {
  #dice: RandomState;

  constructor(seed: number) {
    this.#dice = { seed: seed >>> 0 };
  }

  /** From 0 up to 1. */
  next(): number {
    const [value, dice] = nextRandom(this.#dice);
    this.#dice = dice;
    return value;
  }

  between(low: number, high: number): number {
    return low + this.next() * (high - low);
  }

  whole(low: number, high: number): number {
    return Math.floor(this.between(low, high + 1));
  }

  one<T>(list: readonly T[]): T | undefined {
    return list[Math.floor(this.next() * list.length)];
  }

  hit(share: number): boolean {
    return this.next() < share;
  }

  /** A chance of its own for a part, so that what one part throws does not move the others. */
  part(): Chance {
    return new Chance(Math.floor(this.next() * 4294967296));
  }
}
