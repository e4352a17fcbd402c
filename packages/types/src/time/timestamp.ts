import * as v from 'valibot';
import type { Brand } from '../id/brand.js';

/** A reading of a process's own clock that never goes back, in milliseconds. */
export type Timestamp = Brand<number, 'Timestamp'>;
/** A length of time in milliseconds. */
export type DurationMs = Brand<number, 'DurationMs'>;

const isTimestamp = (raw: unknown): raw is Timestamp =>
  typeof raw === 'number' && Number.isFinite(raw);
const isDurationMs = (raw: unknown): raw is DurationMs =>
  typeof raw === 'number' && Number.isFinite(raw);
export const timestamp = v.custom<Timestamp>(isTimestamp, 'a moment in milliseconds');
export const durationMs = v.custom<DurationMs>(isDurationMs, 'a span in milliseconds');

export const toTimestamp = (raw: number): Timestamp => {
  if (isTimestamp(raw)) return raw;
  throw new RangeError('not a moment');
};
export const toDurationMs = (raw: number): DurationMs => {
  if (isDurationMs(raw)) return raw;
  throw new RangeError('not a span');
};
export const addMs = (from: Timestamp, by: number): Timestamp => toTimestamp(from + by);
export const subtractMs = (from: Timestamp, by: number): Timestamp => toTimestamp(from - by);
export const elapsedMs = (from: Timestamp, to: Timestamp): DurationMs => toDurationMs(to - from);
export const clockOrigin: Timestamp = toTimestamp(0);
