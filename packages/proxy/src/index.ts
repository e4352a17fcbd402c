/** Program of an edge without shields, and the settings of the `proxy` command. */

export { settingsSchema, program } from './settings/settings.js';
export { type EdgeSettings, startEdge } from './direct-edge/start-edge.js';
