/** Suites of recorded runs. */

/** A suite of runs, each determined by its seed. */
export interface DigestSuite {
  readonly name: string;
  readonly seeds: readonly number[];
  /** Number of seeds, from the first, that the tests replay. */
  readonly seedsInTests: number;
  /** Runs one seed and returns its digest; equal behaviour gives equal digests. */
  readonly digest: (seed: number) => string;
}

/** Returns consecutive seeds. */
export const seedRange = (first: number, count: number): readonly number[] =>
  Array.from({ length: count }, (_, offset) => first + offset);
