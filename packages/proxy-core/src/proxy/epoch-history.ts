/**
 * History of lease epochs. A new service leader derives from it how many leaders the service may
 * have had recently, each of which may have spent a part of the service's budgets.
 */

import { type LeaseName, type Epoch, type Timestamp, noEpoch, withEntry } from '@switchwheel/types';
import type { LeaseHolder } from '@switchwheel/transport';

interface SeenEpoch {
  readonly epoch: Epoch;
  readonly seenAt: Timestamp;
}

/** Epochs of each lease with the time when they were first seen, oldest first. */
export type EpochHistory = ReadonlyMap<LeaseName, readonly SeenEpoch[]>;

/** Time span over which lease holders are counted. */
const historyWindowMs = 10_000;

const isBeforeWindow = (seen: SeenEpoch, now: Timestamp): boolean =>
  now - seen.seenAt > historyWindowMs;

/** Records the epochs of the known lease holders. */
export const recordEpochs = (
  history: EpochHistory,
  holders: ReadonlyMap<LeaseName, LeaseHolder>,
  now: Timestamp,
): EpochHistory => {
  let next = history;
  for (const [lease, { epoch }] of holders) {
    const seenEpochs = next.get(lease) ?? [];
    const newestSeen = seenEpochs.at(-1);
    if (newestSeen !== undefined && newestSeen.epoch >= epoch) continue;
    // Of the epochs before the window, only the newest is needed.
    const newestBeforeWindow = seenEpochs.filter((seen) => isBeforeWindow(seen, now)).slice(-1);
    const recent = seenEpochs.filter((seen) => !isBeforeWindow(seen, now));
    next = withEntry(next, lease, [...newestBeforeWindow, ...recent, { epoch, seenAt: now }]);
  }
  return next;
};

/**
 * Returns the maximum number of holders that a lease may have had within the window, up to and
 * including the holder of `epoch`. Epochs that this node never saw count as well.
 */
export const recentHolderCount = (
  history: EpochHistory,
  lease: LeaseName,
  epoch: Epoch,
  now: Timestamp,
): number => {
  const newestBeforeWindow = (history.get(lease) ?? [])
    .filter((seen) => isBeforeWindow(seen, now))
    .at(-1);
  return Math.max(1, epoch - (newestBeforeWindow?.epoch ?? noEpoch));
};
