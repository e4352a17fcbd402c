import { type LeaseName, type Epoch, type Timestamp, noEpoch, withEntry } from '@switchwheel/types';
import type { LeaseHolder } from '@switchwheel/transport';

/** Epochs of duties with when they were first heard of, the oldest first. */
export type EpochHistory = ReadonlyMap<
  LeaseName,
  readonly { readonly epoch: Epoch; readonly at: Timestamp }[]
>;

/** How far back holdings are counted. */
const historyMs = 10_000;

/** Takes note of the holders that are known now. */
export const recordEpochs = (
  heights: EpochHistory,
  holders: ReadonlyMap<LeaseName, LeaseHolder>,
  now: Timestamp,
): EpochHistory => {
  let next = heights;
  for (const [duty, { epoch }] of holders) {
    const marks = next.get(duty) ?? [];
    const last = marks.at(-1);
    if (last !== undefined && last.epoch >= epoch) continue;
    // Of those from before the span only the newest matters.
    const old = marks.filter((one) => now - one.at > historyMs).slice(-1);
    next = withEntry(next, duty, [
      ...old,
      ...marks.filter((one) => now - one.at <= historyMs),
      { epoch, at: now },
    ]);
  }
  return next;
};

/** How many holdings of a duty there may have been in the last ten seconds, this one among them: what was not heard of counts. */
export const recentHolderCount = (
  heights: EpochHistory,
  duty: LeaseName,
  epoch: Epoch,
  now: Timestamp,
): number => {
  const before =
    (heights.get(duty) ?? []).filter((one) => now - one.at > historyMs).at(-1)?.epoch ?? noEpoch;
  return Math.max(1, epoch - before);
};
