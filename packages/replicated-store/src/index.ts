export * from './table/table.js';
export * from './state/event.js';
export * from './state/state.js';
export { inSync, isPrimary } from './leadership/candidacy.js';
export { storeStep } from './machine.js';
