/**
 * Fleet membership: sessions of nodes with their registry, announcements of origins, and the registry
 * as a pure state machine. The `registry` package adds sockets, timers and HTTP; the `election`
 * package decides on leases and votes.
 */

export * from './origins/origins.js';
export * from './releases/releases-digest.js';
export * from './session/node-session.js';
export * from './registry/state.js';
export * from './registry/event.js';
export * from './registry/queries.js';
export { fleetView } from './registry/fleet-view.js';
export { registryTransition } from './registry/transition.js';
