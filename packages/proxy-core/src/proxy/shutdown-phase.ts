/**
 * The phases of a graceful shutdown: requests are accepted for a while longer, those under way are
 * drained, and what is left is aborted before the process is killed.
 */

import type { Timestamp } from '@switchwheel/types';

/** How long an edge accepts requests after SIGTERM: the platform needs a moment to see the stop. */
const edgeGraceMs = 1500;
const shieldGraceMs = 100;
/** When what is left is aborted: the process is killed after six seconds. */
const abortAfterMs = 4700;

/** How far a shutdown has come. */
export type ShutdownPhase = 'serving' | 'draining' | 'aborting' | 'finished';

/**
 * The phase of a shutdown that was requested at a time, with so many requests and attempts still
 * open.
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
