/** Families of recorded runs. */

/** A family of runs, each made from one seed alone. */
export interface DigestSuite {
  readonly name: string;
  readonly seeds: readonly number[];
  /** How many of the seeds, from the first, are replayed with the other tests. */
  readonly seedsInTests: number;
  /** Plays one seed; the same behaviour gives the same text. */
  readonly digest: (seed: number) => string;
}

/** Seeds one after the other. */
export const seedRange = (first: number, count: number): readonly number[] =>
  Array.from({ length: count }, (_, offset) => first + offset);
