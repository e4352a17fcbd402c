import type { Timestamp } from '@switchwheel/types';

/** Counts over a sliding time, in slots; a reading takes the oldest slot in whole, so it never tells too little. */
export interface SlidingWindow {
  readonly slotMs: number;
  readonly slots: readonly number[];
  readonly head: number;
}

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
  for (let one = 1; one <= Math.min(gap, size); one += 1) slots[(window.head + one) % size] = 0;
  return { ...window, slots, head };
};

export const addToWindow = (
  window: SlidingWindow,
  now: Timestamp,
  amount: number,
): SlidingWindow => {
  const fresh = advance(window, now);
  const slots = [...fresh.slots];
  const at = fresh.head % slots.length;
  slots[at] = (slots[at] ?? 0) + amount;
  return { ...fresh, slots };
};

export const windowSum = (window: SlidingWindow, now: Timestamp): number =>
  advance(window, now).slots.reduce((sum, one) => sum + one, 0);
