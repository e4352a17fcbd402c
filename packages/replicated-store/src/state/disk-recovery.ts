/**
 * Start of a store from its disk: a complete disk is loaded, an empty or damaged one leaves the store
 * without a state until it is bootstrapped or a primary resyncs it. Reading the disk is the process's work.
 */

import { type Timestamp, transition } from '@switchwheel/types';
import { log } from '@switchwheel/transport';
import { observeEpoch } from '@switchwheel/election';
import { applyPuts, emptyControlState } from '@switchwheel/configuration';
import type { DiskContents } from './events.js';
import type { StoreState } from './state.js';
import type { StoreTransition } from './transition.js';

export const onDiskRead = (
  before: StoreState,
  found: DiskContents,
  now: Timestamp,
): StoreTransition => {
  const state: StoreState = { ...before, startedAt: now };
  if (found.status === 'empty')
    return transition(
      { ...state, phase: 'empty' },
      log('info', 'the disk is empty: this store is no member until it is founded or mended'),
    );
  if (found.status === 'damaged') {
    return transition(
      { ...state, phase: 'empty', mustWipe: true, diskDamage: `damaged disk: ${found.reason}` },
      log('error', 'the disk is damaged: nothing of it is used, a peer has to mend this store', [
        'why',
        found.reason,
      ]),
    );
  }
  const table = new Map(found.entries.map(({ key, ...entry }) => [key, entry]));
  const control = applyPuts(
    emptyControlState,
    found.entries.map(({ key, data }) => ({ key, data })),
  );
  const next: StoreState = {
    ...state,
    phase: 'member',
    metadata: found.metadata,
    stamp: found.stamp,
    table,
    control,
    candidate: observeEpoch(
      { ...state.candidate, inSyncSet: found.metadata.inSyncSet },
      found.metadata.epoch,
    ),
  };
  return transition(
    next,
    log(
      'info',
      'the disk is read',
      ['entries', found.entries.length],
      ['epoch', found.metadata.epoch],
      ['generation', control.configuration?.offer.generation ?? 0],
    ),
  );
};
