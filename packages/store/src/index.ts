export { program, schema } from './boot.js';
export * from './run.js';
