export * from './deployment/schema.js';
export * from './fleet/fleet.js';
export * from './load/load-generator.js';
export * from './report/report.js';
export * from './report/rules.js';
export * from './run/operator-command.js';
export * from './run/fleet-setup.js';
export * from './run/load-run.js';
