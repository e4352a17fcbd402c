/**
 * The store as a program and as a part of another program: settings, the data folder, and starting and stopping.
 * The state machine itself is the replicated-store package's.
 */

export { program, settingsSchema } from './settings.js';
export * from './data-folder.js';
export * from './start-store.js';
export type { FailureDomains } from '@switchwheel/replicated-store';
