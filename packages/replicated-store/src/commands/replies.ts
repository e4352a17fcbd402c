/**
 * Replies to operators' commands, with the status and body of the operators' HTTP interface. Replies that depend on a
 * write are part of its decision (decision.ts).
 */

import { send } from '@switchwheel/transport';
import type { Caller, CommandReply } from './command.js';
import type { StoreEffect } from '../state/events.js';

/** Sends a reply to an operator's command. */
export const sendReply = (reply: CommandReply): StoreEffect =>
  send(reply.to, {
    kind: 'called',
    id: reply.id,
    status: reply.status,
    body: reply.body,
  });

/** Refuses an invalid command; sending it again has the same result. */
export const sendInvalid = ({ to, id }: Caller, text: string): StoreEffect =>
  sendReply({ to, id, status: 422, body: JSON.stringify({ kind: 'invalid', id, text }) });

/** Rejects a command without effect; it may be sent again after `retryAfterMs`. */
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

/** Reports an unknown outcome; the command may be sent again with the same id. */
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
