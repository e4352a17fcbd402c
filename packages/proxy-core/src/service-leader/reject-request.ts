/**
 * Rejection of a request by a service leader. Its text is sent to the client unchanged.
 */

import type { RequestId } from '@switchwheel/types';
import type { RejectRequestEffect, ServiceLeaderEffect } from './state.js';

/** Reason for rejecting a request, with advice on when to retry. */
export interface Rejection {
  readonly errorKind: RejectRequestEffect['errorKind'];
  /** Shown to the client. */
  readonly text: string;
  /** Suggested delay before a retry, in milliseconds; 0 for none. */
  readonly retryAfterMs: number;
  /** Whether the edge should send the request to the service's next leader instead. */
  readonly leaderMoved?: boolean;
}

/** Builds the effect that rejects a request. */
export const rejectRequest = (
  requestId: RequestId,
  { errorKind, text, retryAfterMs, leaderMoved = false }: Rejection,
): ServiceLeaderEffect => ({
  kind: 'rejectRequest',
  requestId,
  errorKind,
  text,
  retryAfterMs,
  leaderMoved,
});
