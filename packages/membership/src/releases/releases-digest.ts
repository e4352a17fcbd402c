/**
 * Digest of release records: a node sends it in its heartbeat, and its registry sends the records
 * only if the digests differ. Both sides must compute the same digest, so its form is part of the
 * protocol.
 */

import { createHash } from 'node:crypto';
import type { RolloutState } from '@switchwheel/transport';

/** Whether a record does not change until the next write, so that nodes that have it need no update. */
export const isSettled = (record: RolloutState): boolean =>
  record.phase !== 'trial' && record.phase !== 'moving' && record.leftMs <= 0;

const digestLine = (record: RolloutState): string =>
  [
    record.service,
    record.order,
    record.serial,
    record.phase,
    record.settled ?? '',
    record.target ?? '',
    record.leftMs <= 0,
  ].join(' ');

/** Digest of the release records that a process has, in any order. */
export const releasesDigest = (records: Iterable<RolloutState>): string =>
  createHash('sha256')
    .update([...records].map(digestLine).sort().join('\n'))
    .digest('hex')
    .slice(0, 16);
