/**
 * The states of release rollouts as nodes get them: with the time that is left by now, and only
 * those that a node does not know yet, which it shows by a digest of its records.
 */

import { type Timestamp, toDurationMs } from '@switchwheel/types';
import type { RolloutState } from '@switchwheel/transport';
import { isSettled, releasesDigest } from '../releases/releases-digest.js';
import type { RegistryState } from './state.js';

/** All records, as of one point in time, and their digest. */
export interface ReleaseRecords {
  readonly releases: readonly RolloutState[];
  readonly digest: string;
}

// A digest holds for a feed's records until the time of one of them is over.
const digestCache = new WeakMap<
  readonly RolloutState[],
  { readonly digest: string; readonly until: number }
>();

/** The records of the primary's feed with the time that is left by now. */
export const releaseRecords = (state: RegistryState, now: Timestamp): ReleaseRecords => {
  const { releases: received, releasesReceivedAt } = state.feed;
  const releases = received.map((record) => ({
    ...record,
    leftMs: toDurationMs(Math.max(0, record.leftMs - (now - releasesReceivedAt))),
  }));
  const cached = digestCache.get(received);
  if (cached !== undefined && now < cached.until) return { releases, digest: cached.digest };
  const digest = releasesDigest(releases);
  const ends = releases.filter((record) => record.leftMs > 0).map((record) => now + record.leftMs);
  digestCache.set(received, { digest, until: Math.min(Infinity, ...ends) });
  return { releases, digest };
};

/** The records that a node lacks: all, or only the unsettled ones if its digest is the same. */
export const unknownReleases = (
  records: ReleaseRecords,
  knownDigest: string | undefined,
): RolloutState[] =>
  records.releases.filter((record) => knownDigest !== records.digest || !isSettled(record));
