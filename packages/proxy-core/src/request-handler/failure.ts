/**
 * Error replies to clients.
 */

import type { ErrorKind } from '@switchwheel/types';
import type { Reply } from './ports.js';

/** Reply that reports an error to the client. */
export type FailureReply = Extract<Reply, { kind: 'failure' }>;

/** Builds an error reply; a `retryAfterMs` of 0 suggests no retry delay. */
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
