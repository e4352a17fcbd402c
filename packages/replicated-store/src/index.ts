export * from './state/table.js';
export * from './state/events.js';
export * from './state/state.js';
export { inSync, isPrimary } from './leadership/candidacy.js';
export { storeTransition } from './machine.js';
