import { type Transition, transition } from '@switchwheel/types';
import { send } from '@switchwheel/transport';
import type { StoreEffect } from '../state/event.js';
import type { CallResult, Command, Store } from '../state/state.js';

/** The most commands that wait for their write at once. */
export const maxQueuedCommands = 1024;
const retryAfterFullQueueMs = 1000;

/** The frame that answers an operator's call. */
export const callReply = (result: CallResult): StoreEffect =>
  send(result.to, {
    kind: 'called',
    id: result.id,
    status: result.status,
    body: result.body,
  });

const queueIsFull = (command: Extract<Command, { asker: unknown }>): StoreEffect =>
  callReply({
    ...command.asker,
    status: 503,
    body: JSON.stringify({
      kind: 'rejected',
      id: command.asker.id,
      text: 'too many writes wait',
      retryAfterMs: retryAfterFullQueueMs,
    }),
  });

/** Appends a command to the queue, or rejects it if too many wait; the write starts at the end of the step. */
export const enqueue = (state: Store, command: Command): Transition<Store, StoreEffect> => {
  if (state.commandQueue.length < maxQueuedCommands)
    return transition({ ...state, commandQueue: [...state.commandQueue, command] });
  return 'asker' in command ? transition(state, queueIsFull(command)) : transition(state);
};
