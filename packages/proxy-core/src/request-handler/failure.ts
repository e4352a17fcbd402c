/**
 * The reply that tells a client of an error.
 */

import type { ErrorKind } from '@switchwheel/types';
import type { Reply } from './ports.js';

/** A reply that tells of an error. */
export type FailureReply = Extract<Reply, { kind: 'failure' }>;

/** Builds the reply of an error; `retryAfterMs` is 0 for no advice on when to come back. */
export const failureReply = (
  errorKind: ErrorKind,
  text: string,
  retryAfterMs: number,
): FailureReply => ({
  kind: 'failure',
  errorKind,
  text,
  retryAfterMs,
});
