/**
 * Model checker for the state machines of stores and registries: searches schedules of faults for
 * one that violates an invariant. The simulator covers proxies and origins.
 */

export * from './schedule/deviation.js';
export * from './schedule/scenario.js';
export * from './cluster/invariants.js';
export * from './cluster/occurrence.js';
export * from './cluster/simulation.js';
