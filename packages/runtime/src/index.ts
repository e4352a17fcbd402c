/**
 * Runtime of all programs: settings, logs, the event loop that connects a state machine to clock and
 * network, HTTP servers, metrics, the data folder, and graceful shutdown. Contains no logic of a
 * particular program.
 */

export * from './settings/settings.js';
export * from './settings/settings-definition.js';
export * from './log/logger.js';
export * from './run/clock.js';
export * from './run/event-loop.js';
export * from './run/shutdown.js';
export * from './run/running-program.js';
export * from './run/time-slicing.js';
export * from './http/http-server.js';
export * from './http/request-body.js';
export * from './http/budgeted-body.js';
export * from './http/admin.js';
export * from './http/metrics.js';
export * from './disk/disk.js';
export * from './memory/byte-budget.js';
