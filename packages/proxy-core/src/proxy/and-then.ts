/**
 * Sequencing of proxy transitions.
 */

import { prependEffects } from '@switchwheel/types';
import type { ProxyState, ProxyTransition } from './state.js';

/**
 * Applies `next` to the state of a transition and returns the result, with the effects of both in
 * order.
 */
export const andThen = (
  first: ProxyTransition,
  next: (state: ProxyState) => ProxyTransition,
): ProxyTransition => prependEffects(first.effects, next(first.state));
