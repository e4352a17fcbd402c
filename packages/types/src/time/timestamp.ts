/**
 * Points in time and durations of a process's monotonic clock. The clock itself is read in
 * `runtime/run/clock`; reducers receive every timestamp with an event.
 */

import * as v from 'valibot';
import type { Brand } from '../id/brand.js';

/** A reading of a process's own monotonic clock, in milliseconds. Not comparable between processes. */
export type Timestamp = Brand<number, 'Timestamp'>;
/** A length of time in milliseconds. */
export type DurationMs = Brand<number, 'DurationMs'>;

const isTimestamp = (raw: unknown): raw is Timestamp =>
  typeof raw === 'number' && Number.isFinite(raw);
const isDurationMs = (raw: unknown): raw is DurationMs =>
  typeof raw === 'number' && Number.isFinite(raw);

/** Schema of a {@link Timestamp}. */
export const timestamp = v.custom<Timestamp>(isTimestamp, 'a moment in milliseconds');
/** Schema of a {@link DurationMs}. */
export const durationMs = v.custom<DurationMs>(isDurationMs, 'a span in milliseconds');

/** Converts milliseconds to a timestamp; throws a RangeError unless they are finite. */
export const toTimestamp = (raw: number): Timestamp => {
  if (isTimestamp(raw)) return raw;
  throw new RangeError(`not a timestamp: ${String(raw)}`);
};

/** Converts milliseconds to a duration; throws a RangeError unless they are finite. */
export const toDurationMs = (raw: number): DurationMs => {
  if (isDurationMs(raw)) return raw;
  throw new RangeError(`not a duration: ${String(raw)}`);
};

/** The timestamp `durationInMs` after another. */
export const addMs = (from: Timestamp, durationInMs: number): Timestamp =>
  toTimestamp(from + durationInMs);
/** The timestamp `durationInMs` before another. */
export const subtractMs = (from: Timestamp, durationInMs: number): Timestamp =>
  toTimestamp(from - durationInMs);
/** The time between two timestamps; negative if `to` is the earlier one. */
export const elapsedMs = (from: Timestamp, to: Timestamp): DurationMs => toDurationMs(to - from);
/** The timestamp 0. */
export const clockOrigin: Timestamp = toTimestamp(0);
