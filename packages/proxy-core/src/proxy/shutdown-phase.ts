/**
 * Phases of a graceful shutdown: new requests are accepted for a grace period, then requests in
 * progress are drained, and the remaining ones are aborted before the process is killed.
 */

import type { Timestamp } from '@switchwheel/types';

/**
 * Time that an edge continues to accept requests after SIGTERM, until the platform stops routing
 * requests to it.
 */
const edgeGraceMs = 1500;
const shieldGraceMs = 100;
/**
 * Time after SIGTERM at which remaining requests are aborted; the platform kills the process after
 * 6 s.
 */
const abortAfterMs = 4700;

/** Phase of a graceful shutdown. */
export type ShutdownPhase = 'serving' | 'draining' | 'aborting' | 'finished';

/**
 * Returns the phase of a shutdown that was requested at `requestedAt`; `openCount` is the number of
 * open requests and attempts.
 */
export const shutdownPhase = (
  role: 'edge' | 'shield',
  requestedAt: Timestamp,
  openCount: number,
  now: Timestamp,
): ShutdownPhase => {
  const elapsed = now - requestedAt;
  if (elapsed < (role === 'edge' ? edgeGraceMs : shieldGraceMs)) return 'serving';
  if (openCount === 0) return 'finished';
  return elapsed < abortAfterMs ? 'draining' : 'aborting';
};
