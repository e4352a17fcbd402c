/**
 * Deterministic simulation of a whole fleet: the production state machines on a virtual network,
 * virtual disks and virtual time, under random faults, checked by rules.
 */

export * from './world/world.js';
export * from './processes/callers.js';
export * from './rules/rule-checker.js';
