/**
 * Sum over a sliding window, counted in slots. The oldest slot counts in full, so the sum may be
 * slightly too high but never too low.
 */

import type { Timestamp } from '@switchwheel/types';

/** Counts of the most recent slots. Slots are numbered from the origin of the clock. */
export interface SlidingWindow {
  readonly slotMs: number;
  /** Ring buffer: the count of slot `n` is at index `n` modulo the length. */
  readonly slots: readonly number[];
  /** Number of the newest slot. */
  readonly head: number;
}

/** Returns an empty window of `spanMs`, counted in slots of `slotMs`. */
export const newSlidingWindow = (spanMs: number, slotMs: number): SlidingWindow => ({
  slotMs,
  slots: Array.from({ length: Math.ceil(spanMs / slotMs) + 1 }, () => 0),
  head: 0,
});

const advance = (window: SlidingWindow, now: Timestamp): SlidingWindow => {
  const head = Math.floor(now / window.slotMs);
  if (head === window.head) return window;
  const size = window.slots.length;
  const gap = head - window.head;
  if (gap < 0) return window;
  const slots = gap >= size ? window.slots.map(() => 0) : [...window.slots];
  for (let offset = 1; offset <= Math.min(gap, size); offset += 1)
    slots[(window.head + offset) % size] = 0;
  return { ...window, slots, head };
};

/** Adds an amount to the current slot. */
export const addToWindow = (
  window: SlidingWindow,
  now: Timestamp,
  amount: number,
): SlidingWindow => {
  const current = advance(window, now);
  const slots = [...current.slots];
  const index = current.head % slots.length;
  slots[index] = (slots[index] ?? 0) + amount;
  return { ...current, slots };
};

/** Returns the sum over the window that ends now. */
export const windowSum = (window: SlidingWindow, now: Timestamp): number =>
  advance(window, now).slots.reduce((sum, count) => sum + count, 0);
