export { settingsSchema, program } from './settings/settings.js';
export { type EdgeSettings, startEdge } from './direct-edge/start-edge.js';
