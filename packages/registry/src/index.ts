export { program, schema } from './boot.js';
export * from './run.js';
export { type Ask, type Handed, handIn } from './outside/app.js';
