/** The proxy package: the program of a direct edge, and the settings of the `proxy` command. */

export { settingsSchema, program } from './settings/settings.js';
export { type EdgeSettings, startEdge } from './direct-edge/start-edge.js';
