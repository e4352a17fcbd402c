/**
 * Writes that a primary abandons: whether they take effect is unknown, and the replies report that.
 */

import { clockOrigin, transition } from '@switchwheel/types';
import type { CommandReply } from '../commands/command.js';
import { sendUnknownOutcome } from '../commands/replies.js';
import type { StoreEffect } from '../state/events.js';
import type { PrimaryWrite } from '../state/open-writes.js';
import type { StoreState } from '../state/state.js';
import { withPuts } from '../state/table.js';
import type { StoreTransition } from '../state/transition.js';

/** Builds a reply to each caller of a write that its outcome is unknown. */
export const unknownOutcomeReplies = (replies: readonly CommandReply[]): readonly StoreEffect[] =>
  replies.map(sendUnknownOutcome);

/**
 * Applies a write that only this disk has; a later resync detects the difference from the primary by range digests.
 */
export const applyLocally = (state: StoreState, primaryWrite: PrimaryWrite): StoreState => ({
  ...state,
  primaryWrite: undefined,
  // Matches what a restart would read from disk; the epoch of the metadata never decreases.
  metadata: primaryWrite.metadata,
  standDownUntil: clockOrigin,
  logPosition: primaryWrite.logPosition,
  table: withPuts(state.table, primaryWrite.puts, primaryWrite.logPosition),
  control: primaryWrite.controlAfter,
});

/** Abandons the open write and replies to its callers that the outcome is unknown. */
export const abandonOpenWrite = (state: StoreState): StoreTransition => {
  const primaryWrite = state.primaryWrite;
  if (primaryWrite === undefined || primaryWrite.phase === 'abandoned') return transition(state);
  const next =
    primaryWrite.phase === 'replicating'
      ? applyLocally(state, primaryWrite)
      : { ...state, primaryWrite: { ...primaryWrite, phase: 'abandoned' as const } };
  return transition(next, ...unknownOutcomeReplies(primaryWrite.replies));
};
