import type { Timestamp } from '@switchwheel/types';

/** How long callers are still taken after a stop was asked for: the platform needs a moment to see it. */
const stopGraceMs = 1500;
/** When what is left is broken off: the hard stop comes after six seconds. */
const abortAfterMs = 4700;

/** How far a stop has come. */
export type ShutdownPhase = 'serving' | 'draining' | 'aborting' | 'finished';

/** What a process that was asked to stop does now, by what is still open here. */
export const shutdownPhase = (
  role: 'edge' | 'shield',
  since: Timestamp,
  open: number,
  now: Timestamp,
): ShutdownPhase => {
  const spent = now - since;
  if (spent < (role === 'edge' ? stopGraceMs : 100)) return 'serving';
  if (open === 0) return 'finished';
  return spent < abortAfterMs ? 'draining' : 'aborting';
};
