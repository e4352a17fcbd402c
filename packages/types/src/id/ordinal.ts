/**
 * Ordinal numbers as branded whole numbers from 0: generations, epochs, sequence numbers and
 * incarnations. Each has a guard (`isX`), a valibot schema (`x`) and a checked conversion (`toX`),
 * which throws a RangeError.
 */

import * as v from 'valibot';
import type { Brand } from './brand.js';

/** What belongs to one branded number type. */
interface BrandedOrdinal<T extends number> {
  readonly is: (raw: unknown) => raw is T;
  readonly schema: v.CustomSchema<T, v.ErrorMessage<v.CustomIssue> | undefined>;
  /** Throws a RangeError for a value that the guard refuses. */
  readonly from: (raw: number) => T;
}

const brandedOrdinal = <T extends number>(noun: string): BrandedOrdinal<T> => {
  const is = (raw: unknown): raw is T =>
    typeof raw === 'number' && Number.isSafeInteger(raw) && raw >= 0;
  return {
    is,
    schema: v.custom<T>(is, `${noun}: a whole number from 0`),
    from: (raw) => {
      if (is(raw)) return raw;
      throw new RangeError(`not ${noun}: ${String(raw)}`);
    },
  };
};

/** The number of an accepted configuration; it only grows. */
export type Generation = Brand<number, 'Generation'>;
const generationBrand = brandedOrdinal<Generation>('a generation');
/** Whether a value is a valid {@link Generation}. */
export const isGeneration = generationBrand.is;
/** Schema of a {@link Generation}. */
export const generation = generationBrand.schema;
/** Converts a number to a {@link Generation}; throws a RangeError if it is not valid. */
export const toGeneration = generationBrand.from;
/** Before the first configuration. */
export const noGeneration: Generation = toGeneration(0);
/** The generation that follows. */
export const nextGeneration = (current: Generation): Generation => toGeneration(current + 1);

/** The number of one term of a lease; it only grows. */
export type Epoch = Brand<number, 'Epoch'>;
const epochBrand = brandedOrdinal<Epoch>('an epoch');
/** Whether a value is a valid {@link Epoch}. */
export const isEpoch = epochBrand.is;
/** Schema of a {@link Epoch}. */
export const epoch = epochBrand.schema;
/** Converts a number to a {@link Epoch}; throws a RangeError if it is not valid. */
export const toEpoch = epochBrand.from;
/** Before the first term. */
export const noEpoch: Epoch = toEpoch(0);
/** The epoch that follows. */
export const nextEpoch = (current: Epoch): Epoch => toEpoch(current + 1);

/** The position of a write, a purge or a message in its order. */
export type Seq = Brand<number, 'Seq'>;
const seqBrand = brandedOrdinal<Seq>('a sequence number');
/** Whether a value is a valid {@link Seq}. */
export const isSeq = seqBrand.is;
/** Schema of a {@link Seq}. */
export const seq = seqBrand.schema;
/** Converts a number to a {@link Seq}; throws a RangeError if it is not valid. */
export const toSeq = seqBrand.from;
/** Before the first entry. */
export const noSeq: Seq = toSeq(0);
/** The sequence number that follows. */
export const nextSeq = (current: Seq): Seq => toSeq(current + 1);

/** The number of one run of a process; a later run has a higher one. */
export type Incarnation = Brand<number, 'Incarnation'>;
const incarnationBrand = brandedOrdinal<Incarnation>('an incarnation');
/** Whether a value is a valid {@link Incarnation}. */
export const isIncarnation = incarnationBrand.is;
/** Schema of a {@link Incarnation}. */
export const incarnation = incarnationBrand.schema;
/** Converts a number to a {@link Incarnation}; throws a RangeError if it is not valid. */
export const toIncarnation = incarnationBrand.from;
