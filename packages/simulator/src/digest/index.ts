export * from './run-digest.js';
export * from './suite.js';
export * from './reference.js';
export * from './fleet.js';
export * from './direct-edge.js';
