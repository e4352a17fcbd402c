/**
 * Writes that a primary can't finish: whether they take effect is not known, and their callers are told so.
 */

import { clockOrigin, transition } from '@switchwheel/types';
import type { CommandReply } from '../commands/command.js';
import { sendReply } from '../commands/queue.js';
import type { StoreEffect } from '../state/events.js';
import type { PrimaryWrite } from '../state/open-writes.js';
import type { StoreState } from '../state/state.js';
import { withPuts } from '../state/table.js';
import type { StoreTransition } from '../state/transition.js';

export const unknownOutcomeReplies = (results: readonly CommandReply[]): readonly StoreEffect[] =>
  results.map((one) =>
    sendReply({
      ...one,
      status: 504,
      body: JSON.stringify({
        kind: 'unknown',
        id: one.id,
        text: 'the duty moved while this was being written; ask again with this id',
      }),
    }),
  );

/** What lasts on this disk alone stays in the table: the digests will tell it from what the next primary has. */
export const applyLocally = (state: StoreState, primaryWrite: PrimaryWrite): StoreState => ({
  ...state,
  primaryWrite: undefined,
  // What a restart would read: the disk has the metadata of this write, and its epoch only goes up.
  metadata: primaryWrite.metadata,
  standDownUntil: clockOrigin,
  stamp: primaryWrite.stamp,
  table: withPuts(state.table, primaryWrite.puts, primaryWrite.stamp),
  control: primaryWrite.controlAfter,
});

/** Gives a write up that this store can no longer finish: whether it takes effect is not known. */
export const abandon = (state: StoreState): StoreTransition => {
  const primaryWrite = state.primaryWrite;
  if (primaryWrite === undefined || primaryWrite.phase === 'orphan') return transition(state);
  const next =
    primaryWrite.phase === 'copy'
      ? applyLocally(state, primaryWrite)
      : { ...state, primaryWrite: { ...primaryWrite, phase: 'orphan' as const } };
  return transition(next, ...unknownOutcomeReplies(primaryWrite.replies));
};
