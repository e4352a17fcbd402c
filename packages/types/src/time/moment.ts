import * as v from 'valibot';
import type { Brand } from '../id/brand.js';

/** A reading of a process's own clock that never goes back, in milliseconds. */
export type Moment = Brand<number, 'Moment'>;
/** A length of time in milliseconds. */
export type Span = Brand<number, 'Span'>;

const isMoment = (raw: unknown): raw is Moment => typeof raw === 'number' && Number.isFinite(raw);
const isSpan = (raw: unknown): raw is Span => typeof raw === 'number' && Number.isFinite(raw);
export const moment = v.custom<Moment>(isMoment, 'a moment in milliseconds');
export const span = v.custom<Span>(isSpan, 'a span in milliseconds');

export const toMoment = (raw: number): Moment => {
  if (isMoment(raw)) return raw;
  throw new RangeError('not a moment');
};
export const toSpan = (raw: number): Span => {
  if (isSpan(raw)) return raw;
  throw new RangeError('not a span');
};
export const later = (from: Moment, by: number): Moment => toMoment(from + by);
export const earlier = (from: Moment, by: number): Moment => toMoment(from - by);
export const between = (from: Moment, to: Moment): Span => toSpan(to - from);
export const start: Moment = toMoment(0);
