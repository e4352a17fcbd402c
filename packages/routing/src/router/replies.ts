/** The replies that the edge makes itself, and how replies are counted. */

import { type ErrorKind, increment } from '@switchwheel/types';
import type { ClientReply, ReplyCallback } from './ports.js';

/** A reply that says why there is no response; a `retryAfterMs` of 0 says nothing about when to come back. */
export const failureReply = (
  errorKind: ErrorKind,
  text: string,
  retryAfterMs: number,
): ClientReply => ({ kind: 'failure', errorKind, text, retryAfterMs });

/** Counts a reply and hands it over. */
export const sendReply = (
  counts: Map<string, number>,
  callback: ReplyCallback,
  reply: ClientReply,
): void => {
  increment(counts, counterOf(reply));
  callback(reply);
};

/** The counter that a reply adds to; its name is a metric's. */
const counterOf = (reply: ClientReply): string => {
  switch (reply.kind) {
    case 'failure':
      return `fault_${reply.errorKind}`;
    case 'cached':
      return 'told_kept';
    case 'response':
      return `status_${Math.floor(reply.response.status / 100)}xx`;
  }
};
