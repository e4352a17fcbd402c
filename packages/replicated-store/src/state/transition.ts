/** The result type that every reducer of a store shares. */

import type { Transition } from '@switchwheel/types';
import type { StoreEffect } from './events.js';
import type { StoreState } from './state.js';

/** A store's state after an event, with the effects that its process is to run, in order. */
export type StoreTransition = Transition<StoreState, StoreEffect>;
