import type { Timestamp } from '@switchwheel/types';

/** How long callers are still taken after a stop was asked for: the platform needs a moment to see it. */
const graceSpan = 1500;
/** When what is left is broken off: the hard stop comes after six seconds. */
const breakSpan = 4700;

/** How far a stop has come. */
export type Departure = 'serving' | 'ending' | 'broken' | 'over';

/** What a process that was asked to stop does now, by what is still open here. */
export const departure = (
  role: 'edge' | 'shield',
  since: Timestamp,
  open: number,
  now: Timestamp,
): Departure => {
  const spent = now - since;
  if (spent < (role === 'edge' ? graceSpan : 100)) return 'serving';
  if (open === 0) return 'over';
  return spent < breakSpan ? 'ending' : 'broken';
};
