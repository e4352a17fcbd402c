import { createHash } from 'node:crypto';
import type { RolloutState } from '@switchwheel/transport';

/** Whether a record of releases stays as it is until it is written anew: then it need not be told again. */
export const isSettled = (one: RolloutState): boolean =>
  one.phase !== 'trial' && one.phase !== 'moving' && one.leftMs <= 0;

const digestLine = (one: RolloutState): string =>
  [
    one.service,
    one.order,
    one.serial,
    one.phase,
    one.settled ?? '',
    one.target ?? '',
    one.leftMs <= 0,
  ].join(' ');

/** A digest of all records of releases that a process knows, in any order. */
export const releasesDigest = (known: Iterable<RolloutState>): string =>
  createHash('sha256')
    .update([...known].map(digestLine).sort().join('\n'))
    .digest('hex')
    .slice(0, 16);
