import { createHash } from 'node:crypto';
import type { ReleaseState } from '@switchwheel/transport';

/** Whether a record of releases stays as it is until it is written anew: then it need not be told again. */
export const isSettled = (one: ReleaseState): boolean =>
  one.phase !== 'trial' && one.phase !== 'moving' && one.leftMs <= 0;

const line = (one: ReleaseState): string =>
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
export const releasesDigest = (known: Iterable<ReleaseState>): string =>
  createHash('sha256')
    .update([...known].map(line).sort().join('\n'))
    .digest('hex')
    .slice(0, 16);
