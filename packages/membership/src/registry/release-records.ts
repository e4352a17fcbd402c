/**
 * Release records for nodes: updates the remaining times, and selects the records that a node lacks
 * by the digest in its heartbeat.
 */

import { type Timestamp, toDurationMs } from '@switchwheel/types';
import type { RolloutState } from '@switchwheel/transport';
import { isSettled, releasesDigest } from '../releases/releases-digest.js';
import type { RegistryState } from './state.js';

/** All records at one point in time, with their digest. */
export interface ReleaseRecords {
  readonly releases: readonly RolloutState[];
  readonly digest: string;
}

// The digest of a feed's records is valid until the remaining time of one of them ends.
const digestCache = new WeakMap<
  readonly RolloutState[],
  { readonly digest: string; readonly until: number }
>();

/** Records of the primary's feed with their remaining times as of `now`. */
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

/** Records to send to a node: all, or only the unsettled ones if its digest is equal. */
export const unknownReleases = (
  records: ReleaseRecords,
  knownDigest: string | undefined,
): RolloutState[] =>
  records.releases.filter((record) => knownDigest !== records.digest || !isSettled(record));
