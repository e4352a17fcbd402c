/**
 * The queue of commands that wait for their write, and the frame that answers an operator's command.
 */

import { type Transition, transition } from '@switchwheel/types';
import { send } from '@switchwheel/transport';
import type { Command, CommandReply } from './command.js';
import type { StoreEffect } from '../state/events.js';
import type { StoreState } from '../state/state.js';

/** The most commands that wait for their write at once. */
export const maxQueuedCommands = 1024;

const fullQueueRetryMs = 1000;

/** The frame that answers an operator's call. */
export const sendReply = (reply: CommandReply): StoreEffect =>
  send(reply.to, {
    kind: 'called',
    id: reply.id,
    status: reply.status,
    body: reply.body,
  });

const queueIsFull = (command: Extract<Command, { caller: unknown }>): StoreEffect =>
  sendReply({
    ...command.caller,
    status: 503,
    body: JSON.stringify({
      kind: 'rejected',
      id: command.caller.id,
      text: 'too many writes wait',
      retryAfterMs: fullQueueRetryMs,
    }),
  });

/** Appends a command to the queue, or rejects it if too many wait; the write starts at the end of the step. */
export const enqueue = (
  state: StoreState,
  command: Command,
): Transition<StoreState, StoreEffect> => {
  if (state.commandQueue.length < maxQueuedCommands)
    return transition({ ...state, commandQueue: [...state.commandQueue, command] });
  return 'caller' in command ? transition(state, queueIsFull(command)) : transition(state);
};
