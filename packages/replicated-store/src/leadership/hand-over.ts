/**
 * The end of a lease, given up or lost: commands and writes that were under way end with it.
 */

import { type Timestamp, clockOrigin, prependEffects } from '@switchwheel/types';
import { resignLease } from './candidacy.js';
import { abandon } from '../log-write/abandoned-write.js';
import type { StoreState } from '../state/state.js';
import type { StoreTransition } from '../state/transition.js';

/** For how long a store doesn't ask for the lease again, by the reason for which it gave it up. */
export const standDownMs = { abandonedWriteOnDisk: 500, stalledDisk: 5000, refusedWrite: 10_000 };

/** Ends all that was under way under a lease. */
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

/** Gives the lease up, and with it all that was under way, and doesn't ask for it again for `durationMs`. */
export const handOverLeadership = (
  state: StoreState,
  durationMs: number,
  now: Timestamp,
): StoreTransition => {
  const resigned = resignLease(state, durationMs, now);
  // The peers hear of it at once: the next status is due now.
  return prependEffects(
    resigned.effects,
    endLeadership({ ...resigned.state, statusSentAt: clockOrigin }),
  );
};
