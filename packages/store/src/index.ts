export { program, settingsSchema } from './settings.js';
export * from './start-store.js';
export type { FailureDomains } from '@switchwheel/replicated-store';
