/**
 * Writes that a primary can't finish: whether they take effect is not known, and the replies say so.
 */

import { clockOrigin, transition } from '@switchwheel/types';
import type { CommandReply } from '../commands/command.js';
import { sendUnknownOutcome } from '../commands/replies.js';
import type { StoreEffect } from '../state/events.js';
import type { PrimaryWrite } from '../state/open-writes.js';
import type { StoreState } from '../state/state.js';
import { withPuts } from '../state/table.js';
import type { StoreTransition } from '../state/transition.js';

/** Replies to all callers of a write that its outcome is not known. */
export const unknownOutcomeReplies = (replies: readonly CommandReply[]): readonly StoreEffect[] =>
  replies.map(sendUnknownOutcome);

/** Keeps in the table what is on this disk alone: a later resync finds by the digests how it differs from the primary's. */
export const applyLocally = (state: StoreState, primaryWrite: PrimaryWrite): StoreState => ({
  ...state,
  primaryWrite: undefined,
  // What a restart would read: the disk has the metadata of this write, and its epoch only goes up.
  metadata: primaryWrite.metadata,
  standDownUntil: clockOrigin,
  logPosition: primaryWrite.logPosition,
  table: withPuts(state.table, primaryWrite.puts, primaryWrite.logPosition),
  control: primaryWrite.controlAfter,
});

/** Gives up the write that is open; the replies say that its outcome is not known. */
export const abandon = (state: StoreState): StoreTransition => {
  const primaryWrite = state.primaryWrite;
  if (primaryWrite === undefined || primaryWrite.phase === 'abandoned') return transition(state);
  const next =
    primaryWrite.phase === 'replicating'
      ? applyLocally(state, primaryWrite)
      : { ...state, primaryWrite: { ...primaryWrite, phase: 'abandoned' as const } };
  return transition(next, ...unknownOutcomeReplies(primaryWrite.replies));
};
