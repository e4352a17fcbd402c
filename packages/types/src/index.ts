/**
 * Types and pure helpers that all packages share: branded ids and numbers, timestamps, error kinds, and
 * state machines with pure reducers. Depends on no other package, reads no clock and does no I/O.
 */

export * from './id/brand.js';
export * from './id/name.js';
export * from './id/ordinal.js';
export * from './time/timestamp.js';
export * from './random/random-state.js';
export * from './random/hash-to-fraction.js';
export * from './table/immutable-map.js';
export * from './table/counter.js';
export * from './table/equal-as-json.js';
export * from './table/format-columns.js';
export * from './state-machine/transition.js';
export * from './state-machine/state-machine.js';
export * from './failure/failure.js';
export * from './invariant/violations.js';
