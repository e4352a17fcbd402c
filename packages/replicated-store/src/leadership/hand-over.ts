/**
 * End of a store's leadership, when its lease is released or lost: pending commands and the open write are dropped.
 */

import { type Timestamp, clockOrigin, prependEffects } from '@switchwheel/types';
import { resignLease } from './candidacy.js';
import { abandonOpenWrite } from '../log-write/abandoned-write.js';
import type { StoreState } from '../state/state.js';
import type { StoreTransition } from '../state/transition.js';

/** Time for which a store does not campaign after releasing the lease, by reason. */
export const standDownMs = { abandonedWriteOnDisk: 500, stalledDisk: 5000, refusedWrite: 10_000 };

/** Drops all state that depends on the lease and abandons the open write. */
export const endLeadership = (state: StoreState): StoreTransition =>
  abandonOpenWrite({
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

/** Releases the lease, drops all pending work, and does not campaign for `durationMs`. */
export const handOverLeadership = (
  state: StoreState,
  durationMs: number,
  now: Timestamp,
): StoreTransition => {
  const resigned = resignLease(state, durationMs, now);
  // Makes the next status due, so that the peers are notified at once.
  return prependEffects(
    resigned.effects,
    endLeadership({ ...resigned.state, statusSentAt: clockOrigin }),
  );
};
