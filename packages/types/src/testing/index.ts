/** Support for tests that compare external interfaces with committed snapshots; not imported by programs. */

export * from './schema-outline.js';
export { type CommandLine, type RunningProgram, runCommands, startProgram } from './command.js';
export {
  type HttpRequest,
  type HttpResponse,
  freeAddress,
  httpExchange,
  portOf,
  responseText,
} from './http.js';
export { jsonShape } from './json-shape.js';
export { matchMetrics } from './metrics.js';
export { schemaLines } from './schema-lines.js';
export { type MatchSnapshot, snapshotsFor } from './snapshot.js';
