export * from './origins/origins.js';
export * from './releases/digest.js';
export * from './session/node-session.js';
export * from './registry/state.js';
export * from './registry/event.js';
export * from './registry/queries.js';
export { fleetView } from './registry/calls.js';
export { registryStep } from './registry/machine.js';
