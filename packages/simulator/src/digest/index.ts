/**
 * Digests of deterministic runs, which prove that a change of the sources changed no behaviour.
 */

export * from './run-digest.js';
export * from './suite.js';
export * from './reference.js';
export * from './fleet.js';
export * from './direct-edge.js';
