/**
 * The end of a lease, given up or lost: commands and writes that were under way end with it.
 */

import { type Timestamp, clockOrigin, prependEffects } from '@switchwheel/types';
import { resignLease } from './candidacy.js';
import { abandon } from '../log-write/abandoned-write.js';
import type { StoreState } from '../state/state.js';
import type { StoreTransition } from '../state/transition.js';

/** Ends all that was under way in a holding. */
export const endLeadership = (state: StoreState): StoreTransition =>
  abandon({
    ...state,
    isServing: false,
    isReadOnly: false,
    commandQueue: [],
    awaitingChunks: new Map(),
    compiling: new Map(),
    releaseWatches: new Map(),
    rolloutsDueAt: undefined,
    shortageSince: undefined,
  });

/** Gives the duty up for a while, and with it all that was under way. */
export const handOverLeadership = (
  state: StoreState,
  standDownMs: number,
  now: Timestamp,
): StoreTransition => {
  const resigned = resignLease(state, standDownMs, now);
  // The peer hears of it at once: the next greeting is due now.
  return prependEffects(
    resigned.effects,
    endLeadership({ ...resigned.state, statusSentAt: clockOrigin }),
  );
};
