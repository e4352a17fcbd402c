export * from './origins/origins.js';
export * from './releases/releases-digest.js';
export * from './session/node-session.js';
export * from './registry/state.js';
export * from './registry/event.js';
export * from './registry/queries.js';
export { fleetView } from './registry/operator-commands.js';
export { registryTransition } from './registry/transition.js';
