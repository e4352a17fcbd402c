/**
 * Start of a store from its disk: a complete disk is loaded; with an empty or damaged one the store has no state
 * until it is bootstrapped or a primary resyncs it. The process itself reads the disk.
 */

import { type Timestamp, transition } from '@switchwheel/types';
import { log } from '@switchwheel/transport';
import { observeEpoch } from '@switchwheel/election';
import { applyPuts, emptyControlState } from '@switchwheel/configuration';
import type { DiskContents } from './events.js';
import type { StoreState } from './state.js';
import type { StoreTransition } from './transition.js';

/** Handles the contents of the disk: restores the state from it, or waits for a bootstrap or resync. */
export const onDiskRead = (
  before: StoreState,
  contents: DiskContents,
  now: Timestamp,
): StoreTransition => {
  const state: StoreState = { ...before, startedAt: now };
  if (contents.status === 'empty')
    return transition(
      { ...state, phase: 'empty' },
      log('info', 'disk empty, waiting for a bootstrap or a resync'),
    );
  if (contents.status === 'damaged') {
    return transition(
      { ...state, phase: 'empty', mustWipe: true, diskDamage: `damaged disk: ${contents.reason}` },
      log(
        'error',
        'the disk is damaged: nothing of it is used until a primary resyncs this store',
        ['why', contents.reason],
      ),
    );
  }
  const table = new Map(contents.entries.map(({ key, ...entry }) => [key, entry]));
  const control = applyPuts(
    emptyControlState,
    contents.entries.map(({ key, data }) => ({ key, data })),
  );
  const next: StoreState = {
    ...state,
    phase: 'member',
    metadata: contents.metadata,
    logPosition: contents.logPosition,
    table,
    control,
    candidate: observeEpoch(
      { ...state.candidate, inSyncSet: contents.metadata.inSyncSet },
      contents.metadata.epoch,
    ),
  };
  return transition(
    next,
    log(
      'info',
      'disk loaded',
      ['entries', contents.entries.length],
      ['epoch', contents.metadata.epoch],
      ['generation', control.configuration?.offer.generation ?? 0],
    ),
  );
};
