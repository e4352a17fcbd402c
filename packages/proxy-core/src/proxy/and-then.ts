/**
 * Sequencing of proxy transitions.
 */

import { prependEffects } from '@switchwheel/types';
import type { ProxyState, ProxyTransition } from './state.js';

/** Goes on from the state of a transition; the effects of the first come before those of the next. */
export const andThen = (
  first: ProxyTransition,
  next: (state: ProxyState) => ProxyTransition,
): ProxyTransition => prependEffects(first.effects, next(first.state));
