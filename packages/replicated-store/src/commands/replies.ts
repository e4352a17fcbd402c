/**
 * Replies to operators' commands that are sent at once. Replies that rest on a write are part of it (decision.ts).
 * Status and body are those of the operators' HTTP interface.
 */

import { send } from '@switchwheel/transport';
import type { Caller, CommandReply } from './command.js';
import type { StoreEffect } from '../state/events.js';

/** The frame that answers an operator's command. */
export const sendReply = (reply: CommandReply): StoreEffect =>
  send(reply.to, {
    kind: 'called',
    id: reply.id,
    status: reply.status,
    body: reply.body,
  });

/** The command makes no sense, and will not if it is sent again. */
export const sendInvalid = ({ to, id }: Caller, text: string): StoreEffect =>
  sendReply({ to, id, status: 422, body: JSON.stringify({ kind: 'invalid', id, text }) });

/** The command had no effect; it may be sent again after `retryAfterMs`. */
export const sendRejection = (
  { to, id }: Caller,
  text: string,
  retryAfterMs: number,
): StoreEffect =>
  sendReply({
    to,
    id,
    status: 503,
    body: JSON.stringify({ kind: 'rejected', id, text, retryAfterMs }),
  });

/** Whether the command takes effect is not known; it may be sent again with the same id. */
export const sendUnknownOutcome = ({ to, id }: Caller): StoreEffect =>
  sendReply({
    to,
    id,
    status: 504,
    body: JSON.stringify({
      kind: 'unknown',
      id,
      text: 'the duty moved while this was being written; ask again with this id',
    }),
  });
