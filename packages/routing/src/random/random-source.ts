/** Mutable pseudo-random number generator for classes that keep their state in place. */

import { type RandomState, nextRandom } from '@switchwheel/types';

/** Deterministic random source: equal initial states give equal sequences. Users of one instance share its sequence. */
export class RandomSource {
  #state: RandomState;

  constructor(state: RandomState) {
    this.#state = state;
  }

  /** Returns the next number, from 0 inclusive to 1 exclusive. */
  next(): number {
    const [value, state] = nextRandom(this.#state);
    this.#state = state;
    return value;
  }
}
