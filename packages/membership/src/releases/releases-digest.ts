/**
 * A digest of release records: a node sends it in its heartbeat, and its registry sends only what
 * the node does not know. Both sides must compute it alike, so its form is part of the protocol.
 */

import { createHash } from 'node:crypto';
import type { RolloutState } from '@switchwheel/transport';

/** Whether a record stays as it is until the next write: a node that knows it need not be sent it again. */
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

/** The digest of all release records that a process knows, in any order. */
export const releasesDigest = (known: Iterable<RolloutState>): string =>
  createHash('sha256')
    .update([...known].map(digestLine).sort().join('\n'))
    .digest('hex')
    .slice(0, 16);
