/** Result type shared by all reducers of a store. */

import type { Transition } from '@switchwheel/types';
import type { StoreEffect } from './events.js';
import type { StoreState } from './state.js';

/** State of a store after an event, with the effects for its process to run in order. */
export type StoreTransition = Transition<StoreState, StoreEffect>;
