/**
 * Generations, epochs, sequence numbers and incarnations as branded non-negative integers. Each has a
 * type guard (`isX`), a valibot schema for untrusted input (`x`) and a checked conversion (`toX`), which
 * throws a RangeError.
 */

import * as v from 'valibot';
import type { Brand } from './brand.js';

/** Type guard, schema and conversion of one branded number type. */
interface BrandedOrdinal<T extends number> {
  readonly is: (raw: unknown) => raw is T;
  readonly schema: v.CustomSchema<T, v.ErrorMessage<v.CustomIssue> | undefined>;
  /** Throws a RangeError if the guard rejects the value. */
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
      throw new RangeError(`expected ${noun}, got ${String(raw)}`);
    },
  };
};

/** Number of an accepted configuration; each new one is higher. */
export type Generation = Brand<number, 'Generation'>;
const generationBrand = brandedOrdinal<Generation>('a generation');
/** Whether a value is a valid {@link Generation}. */
export const isGeneration = generationBrand.is;
/** Schema of a {@link Generation}. */
export const generation = generationBrand.schema;
/** Converts a number to a {@link Generation}; throws a RangeError if it is not valid. */
export const toGeneration = generationBrand.from;
/** Generation of a node that has no configuration yet. */
export const noGeneration: Generation = toGeneration(0);
/** Generation after `current`. */
export const nextGeneration = (current: Generation): Generation => toGeneration(current + 1);

/** Number of a lease's term; each new holder has a higher one. */
export type Epoch = Brand<number, 'Epoch'>;
const epochBrand = brandedOrdinal<Epoch>('an epoch');
/** Whether a value is a valid {@link Epoch}. */
export const isEpoch = epochBrand.is;
/** Schema of a {@link Epoch}. */
export const epoch = epochBrand.schema;
/** Converts a number to a {@link Epoch}; throws a RangeError if it is not valid. */
export const toEpoch = epochBrand.from;
/** Epoch of a lease that was never granted. */
export const noEpoch: Epoch = toEpoch(0);
/** Epoch after `current`. */
export const nextEpoch = (current: Epoch): Epoch => toEpoch(current + 1);

/** Sequence number of a write, a purge or a message. */
export type Seq = Brand<number, 'Seq'>;
const seqBrand = brandedOrdinal<Seq>('a sequence number');
/** Whether a value is a valid {@link Seq}. */
export const isSeq = seqBrand.is;
/** Schema of a {@link Seq}. */
export const seq = seqBrand.schema;
/** Converts a number to a {@link Seq}; throws a RangeError if it is not valid. */
export const toSeq = seqBrand.from;
/** Sequence number before the first entry. */
export const noSeq: Seq = toSeq(0);
/** Sequence number after `current`. */
export const nextSeq = (current: Seq): Seq => toSeq(current + 1);

/** Number of one run of a process; a later run has a higher one. */
export type Incarnation = Brand<number, 'Incarnation'>;
const incarnationBrand = brandedOrdinal<Incarnation>('an incarnation');
/** Whether a value is a valid {@link Incarnation}. */
export const isIncarnation = incarnationBrand.is;
/** Schema of a {@link Incarnation}. */
export const incarnation = incarnationBrand.schema;
/** Converts a number to a {@link Incarnation}; throws a RangeError if it is not valid. */
export const toIncarnation = incarnationBrand.from;
