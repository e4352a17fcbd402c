/**
 * Replicated store of the control state: a state machine that elects a primary, replicates its log of writes to
 * backups, resyncs learners, and executes operators' commands. Sockets, clocks and disks belong to the process
 * that runs it (package store, the simulator, the model checker).
 */

export * from './state/table.js';
export * from './state/events.js';
export * from './state/state.js';
export * from './state/replication-settings.js';
export { isInSync, isPrimary } from './leadership/candidacy.js';
export { storeTransition } from './machine.js';
