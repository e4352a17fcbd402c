import * as v from 'valibot';
import type { Brand } from './brand.js';

/** The number of an accepted description; it only grows. */
export type Generation = Brand<number, 'Generation'>;
/** The number of one holding of a duty; it only grows. */
export type Epoch = Brand<number, 'Epoch'>;
/** The place of a write, a purge or a word in its order. */
export type Seq = Brand<number, 'Seq'>;
/** One run of a process; a later run bears a higher one. */
export type Incarnation = Brand<number, 'Incarnation'>;

const whole = (raw: unknown): raw is number =>
  typeof raw === 'number' && Number.isSafeInteger(raw) && raw >= 0;
export const isGeneration = (raw: unknown): raw is Generation => whole(raw);
export const isEpoch = (raw: unknown): raw is Epoch => whole(raw);
export const isSeq = (raw: unknown): raw is Seq => whole(raw);
export const isIncarnation = (raw: unknown): raw is Incarnation => whole(raw);

export const generation = v.custom<Generation>(isGeneration, 'a generation: a whole number from 0');
export const epoch = v.custom<Epoch>(isEpoch, 'an epoch: a whole number from 0');
export const seq = v.custom<Seq>(isSeq, 'a sequence number: a whole number from 0');
export const incarnation = v.custom<Incarnation>(
  isIncarnation,
  'an incarnation: a whole number from 0',
);

const need =
  <T extends number>(guard: (raw: unknown) => raw is T, what: string) =>
  (raw: number): T => {
    if (guard(raw)) return raw;
    throw new RangeError(`not ${what}: ${String(raw)}`);
  };
export const toGeneration = need(isGeneration, 'a generation');
export const toEpoch = need(isEpoch, 'an epoch');
export const toSeq = need(isSeq, 'a sequence number');
export const toIncarnation = need(isIncarnation, 'an incarnation');

export const noGeneration: Generation = toGeneration(0);
export const noEpoch: Epoch = toEpoch(0);
export const noSeq: Seq = toSeq(0);
export const nextGeneration = (old: Generation): Generation => toGeneration(old + 1);
export const nextEpoch = (old: Epoch): Epoch => toEpoch(old + 1);
export const nextSeq = (old: Seq): Seq => toSeq(old + 1);
