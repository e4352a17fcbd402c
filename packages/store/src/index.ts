/**
 * The store, as a program and for embedding in another program: settings, data folder, start and stop. Its state
 * machine is in the replicated-store package.
 */

export { program, settingsSchema } from './settings.js';
export * from './data-folder.js';
export * from './start-store.js';
export type { FailureDomains } from '@switchwheel/replicated-store';
