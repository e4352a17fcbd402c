import { type LeaseName, type Epoch, type Timestamp, noEpoch, withEntry } from '@switchwheel/types';
import type { Holder } from '@switchwheel/transport';

/** Epochs of duties with when they were first heard of, the oldest first. */
export type Heights = ReadonlyMap<
  LeaseName,
  readonly { readonly epoch: Epoch; readonly at: Timestamp }[]
>;

/** How far back holdings are counted. */
const backSpan = 10_000;

/** Takes note of the holders that are known now. */
export const noteHeights = (
  heights: Heights,
  holders: ReadonlyMap<LeaseName, Holder>,
  now: Timestamp,
): Heights => {
  let next = heights;
  for (const [duty, { epoch }] of holders) {
    const marks = next.get(duty) ?? [];
    const last = marks.at(-1);
    if (last !== undefined && last.epoch >= epoch) continue;
    // Of those from before the span only the newest matters.
    const old = marks.filter((one) => now - one.at > backSpan).slice(-1);
    next = withEntry(next, duty, [
      ...old,
      ...marks.filter((one) => now - one.at <= backSpan),
      { epoch, at: now },
    ]);
  }
  return next;
};

/** How many holdings of a duty there may have been in the last ten seconds, this one among them: what was not heard of counts. */
export const holdingsOf = (
  heights: Heights,
  duty: LeaseName,
  epoch: Epoch,
  now: Timestamp,
): number => {
  const before =
    (heights.get(duty) ?? []).filter((one) => now - one.at > backSpan).at(-1)?.epoch ?? noEpoch;
  return Math.max(1, epoch - before);
};
