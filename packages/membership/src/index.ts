/**
 * Membership of the fleet: sessions of nodes at their registry, announcements of origins, and the
 * registry itself as a pure state machine. Sockets, timers and HTTP are the `registry` package's;
 * leases and votes follow the rules of `election`.
 */

export * from './origins/origins.js';
export * from './releases/releases-digest.js';
export * from './session/node-session.js';
export * from './registry/state.js';
export * from './registry/event.js';
export * from './registry/queries.js';
export { fleetView } from './registry/fleet-view.js';
export { registryTransition } from './registry/transition.js';
