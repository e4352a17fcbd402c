/**
 * Which epochs of each lease were seen when. A new service leader learns from it how many leaders
 * the service may have had of late, each of which may have spent a part of the service's budgets.
 */

import { type LeaseName, type Epoch, type Timestamp, noEpoch, withEntry } from '@switchwheel/types';
import type { LeaseHolder } from '@switchwheel/transport';

interface SeenEpoch {
  readonly epoch: Epoch;
  readonly at: Timestamp;
}

/** The epochs of each lease with when they were first seen, the oldest first. */
export type EpochHistory = ReadonlyMap<LeaseName, readonly SeenEpoch[]>;

/** How far back lease holders are counted. */
const historyWindowMs = 10_000;

const isOld = (seen: SeenEpoch, now: Timestamp): boolean => now - seen.at > historyWindowMs;

/** Adds the epochs of the lease holders that are known now. */
export const recordEpochs = (
  history: EpochHistory,
  holders: ReadonlyMap<LeaseName, LeaseHolder>,
  now: Timestamp,
): EpochHistory => {
  let next = history;
  for (const [lease, { epoch }] of holders) {
    const known = next.get(lease) ?? [];
    const last = known.at(-1);
    if (last !== undefined && last.epoch >= epoch) continue;
    // Of the epochs from before the counted time only the newest matters.
    const newestOld = known.filter((seen) => isOld(seen, now)).slice(-1);
    const recent = known.filter((seen) => !isOld(seen, now));
    next = withEntry(next, lease, [...newestOld, ...recent, { epoch, at: now }]);
  }
  return next;
};

/**
 * How many holders a lease may have had in the last ten seconds, the one of the given epoch
 * included. Epochs that were never seen here count as well.
 */
export const recentHolderCount = (
  history: EpochHistory,
  lease: LeaseName,
  epoch: Epoch,
  now: Timestamp,
): number => {
  const newestOld = (history.get(lease) ?? []).filter((seen) => isOld(seen, now)).at(-1);
  return Math.max(1, epoch - (newestOld?.epoch ?? noEpoch));
};
