/**
 * A deterministic simulation of a whole fleet: the shipped state machines on a virtual network,
 * virtual disks and virtual time, under random faults, judged by rules.
 */

export * from './world/world.js';
export * from './processes/callers.js';
export * from './rules/rule-checker.js';
