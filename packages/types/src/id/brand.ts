/**
 * Branded primitives: strings and numbers that the compiler keeps apart by what they stand for.
 * Which values a brand admits is decided where the brand is declared (`name.ts`, `ordinal.ts`,
 * `timestamp.ts`).
 */

declare const brand: unique symbol;

/** A primitive of type `T` that only the guard of the brand `N` may produce. */
export type Brand<T, N extends string> = T & { readonly [brand]: N };
