export * from './world/world.js';
export * from './cast/callers.js';
export * from './rules/rules.js';
