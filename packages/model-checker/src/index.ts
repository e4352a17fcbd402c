export * from './schedule/deviation.js';
export * from './schedule/scenario.js';
export * from './cluster/invariants.js';
export * from './cluster/occurrence.js';
export * from './cluster/simulation.js';
