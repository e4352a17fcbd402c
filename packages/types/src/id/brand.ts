/**
 * Branded primitives: strings and numbers that the compiler does not let be mixed up. The valid values
 * of each brand are defined beside it, in `name.ts`, `ordinal.ts` and `timestamp.ts`.
 */

declare const brand: unique symbol;

/** Primitive of type `T` that has passed the type guard of the brand `N`. */
export type Brand<T, N extends string> = T & { readonly [brand]: N };
