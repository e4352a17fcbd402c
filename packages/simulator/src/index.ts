export * from './world/world.js';
export * from './processes/callers.js';
export * from './rules/rule-checker.js';
