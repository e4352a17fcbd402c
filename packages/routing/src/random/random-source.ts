/** A sequence of random numbers for classes whose state changes in place; the same seed gives the same sequence. */

import { type RandomState, nextRandom } from '@switchwheel/types';

/** Draws numbers one after another; whoever shares a source shares its sequence. */
export class RandomSource {
  #state: RandomState;

  constructor(state: RandomState) {
    this.#state = state;
  }

  /** The next number, from 0 inclusive to 1 exclusive. */
  next(): number {
    const [value, state] = nextRandom(this.#state);
    this.#state = state;
    return value;
  }
}
