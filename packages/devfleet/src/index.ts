/** Development fleet of real processes on one machine: deployment, load generator, fault injection and rule checks. */

export * from './deployment/schema.js';
export * from './fleet/fleet.js';
export * from './fleet/machine.js';
export * from './fleet/wait.js';
export * from './load/load-generator.js';
export * from './load/request-record.js';
export * from './report/report.js';
export * from './report/rules.js';
export * from './run/configuration-file.js';
export * from './run/fleet-setup.js';
export * from './run/fleet-view.js';
export * from './run/load-run.js';
export * from './run/operator-command.js';
export * from './run/run-report.js';
