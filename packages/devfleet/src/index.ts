export * from './deployment/schema.js';
export * from './fleet/fleet.js';
export * from './load/callers.js';
export * from './report/report.js';
export * from './report/rules.js';
export * from './run/cli.js';
export * from './run/stage.js';
export * from './run/full.js';
