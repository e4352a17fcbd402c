/**
 * Queue of commands that wait for their write.
 */

import { transition } from '@switchwheel/types';
import type { Command } from './command.js';
import { sendRejection } from './replies.js';
import type { StoreState } from '../state/state.js';
import type { StoreTransition } from '../state/transition.js';

/** Maximum number of queued commands. */
export const maxQueuedCommands = 1024;

/** Retry delay for an operator whose command met a full queue. */
const fullQueueRetryMs = 1000;

/**
 * Appends a command to the queue. If the queue is full, an operator's command is rejected, and an internal command is
 * dropped, because the primary queues it again later. The write starts at the end of the event.
 */
export const enqueue = (state: StoreState, command: Command): StoreTransition => {
  if (state.commandQueue.length < maxQueuedCommands)
    return transition({ ...state, commandQueue: [...state.commandQueue, command] });
  return 'caller' in command
    ? transition(state, sendRejection(command.caller, 'too many writes wait', fullQueueRetryMs))
    : transition(state);
};
