/**
 * A model checker over the state machines of stores and registries: searches schedules of faults
 * for one that breaks an invariant. Proxies and origins are the simulator's matter.
 */

export * from './schedule/deviation.js';
export * from './schedule/scenario.js';
export * from './cluster/invariants.js';
export * from './cluster/occurrence.js';
export * from './cluster/simulation.js';
