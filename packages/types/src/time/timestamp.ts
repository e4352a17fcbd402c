/**
 * Timestamps and durations of a process's monotonic clock. Reducers never read the clock: they receive
 * the time with each event, from `runtime/run/clock`.
 */

import * as v from 'valibot';
import type { Brand } from '../id/brand.js';

/** Reading of a process's monotonic clock in milliseconds; not comparable between processes. */
export type Timestamp = Brand<number, 'Timestamp'>;
/** Length of time in milliseconds; may be negative. */
export type DurationMs = Brand<number, 'DurationMs'>;

const isTimestamp = (raw: unknown): raw is Timestamp =>
  typeof raw === 'number' && Number.isFinite(raw);
const isDurationMs = (raw: unknown): raw is DurationMs =>
  typeof raw === 'number' && Number.isFinite(raw);

/** Schema of a {@link Timestamp}. */
export const timestamp = v.custom<Timestamp>(isTimestamp, 'a timestamp in milliseconds');
/** Schema of a {@link DurationMs}. */
export const durationMs = v.custom<DurationMs>(isDurationMs, 'a duration in milliseconds');

/** Converts milliseconds to a timestamp; throws a RangeError if the number is not finite. */
export const toTimestamp = (raw: number): Timestamp => {
  if (isTimestamp(raw)) return raw;
  throw new RangeError(`expected a finite timestamp in milliseconds, got ${String(raw)}`);
};

/** Converts milliseconds to a duration; throws a RangeError if the number is not finite. */
export const toDurationMs = (raw: number): DurationMs => {
  if (isDurationMs(raw)) return raw;
  throw new RangeError(`expected a finite duration in milliseconds, got ${String(raw)}`);
};

/** Returns the timestamp `durationInMs` after `from`. */
export const addMs = (from: Timestamp, durationInMs: number): Timestamp =>
  toTimestamp(from + durationInMs);
/** Returns the timestamp `durationInMs` before `from`. */
export const subtractMs = (from: Timestamp, durationInMs: number): Timestamp =>
  toTimestamp(from - durationInMs);
/** Returns the time from `from` to `to`; negative if `to` is the earlier one. */
export const elapsedMs = (from: Timestamp, to: Timestamp): DurationMs => toDurationMs(to - from);
/** Timestamp 0, e.g. for a state before its first event. */
export const clockOrigin: Timestamp = toTimestamp(0);
