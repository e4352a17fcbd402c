/**
 * The effect by which a service leader turns a request away. Its text goes to the client as it is.
 */

import type { RequestId } from '@switchwheel/types';
import type { RejectRequestEffect, ServiceLeaderEffect } from './state.js';

/** Why a request is turned away, and when its client may come back. */
export interface Rejection {
  readonly errorKind: RejectRequestEffect['errorKind'];
  /** Shown to the client. */
  readonly text: string;
  /** After how many milliseconds a retry makes sense; 0 for no advice. */
  readonly retryAfterMs: number;
  /** Whether the edge should send it to the service's next leader instead. */
  readonly leaderMoved?: boolean;
}

/** Builds the effect that turns a request away. */
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
