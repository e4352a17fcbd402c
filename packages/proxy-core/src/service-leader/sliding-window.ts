/**
 * Counts over a sliding window, in slots. A sum takes the oldest slot in whole, so it may say a
 * little too much and never too little.
 */

import type { Timestamp } from '@switchwheel/types';

/** Counts of the last slots; slot numbers count from the origin of the clock. */
export interface SlidingWindow {
  readonly slotMs: number;
  /** A ring: the count of slot `n` is at `n` modulo its length. */
  readonly slots: readonly number[];
  /** The number of the newest slot. */
  readonly head: number;
}

/** An empty window over a span, counted in slots of the given length (both in milliseconds). */
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

/** Adds an amount to the slot of the present. */
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

/** The sum over the window that ends now. */
export const windowSum = (window: SlidingWindow, now: Timestamp): number =>
  advance(window, now).slots.reduce((sum, count) => sum + count, 0);
