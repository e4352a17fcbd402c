export { program, schema } from './boot.js';
export * from './run.js';
export type { FailureDomains } from '@switchwheel/replicated-store';
