/**
 * Decision logic of a proxy: the node agent (control side of any node), the HTTP cache, an edge's
 * forwarding, a shield's service leaders, and the request handlers that use them. Sockets, timers
 * and HTTP are left to the program in `packages/proxy`.
 */

export * from './node-agent/state.js';
export * from './node-agent/node-agent.js';
export * from './node-agent/readiness.js';
export * from './node-agent/config-freshness.js';
export * from './node-agent/configuration-staleness.js';
export { leadershipOrder } from './node-agent/leadership-order.js';
export * from './service-leader/state.js';
export * from './service-leader/service-leader.js';
export { hasExtraAttemptBudget } from './service-leader/extra-attempt-budget.js';
export * from './service-leader/sliding-window.js';
export * from './cache/header-fields.js';
export * from './cache/cache-control.js';
export * from './cache/cache.js';
export * from './cache/cache-lookup.js';
export * from './cache/request-coalescing.js';
export * from './forwarding/state.js';
export * from './forwarding/forwarding.js';
export * from './proxy/state.js';
export * from './proxy/proxy.js';
export * from './request-handler/ports.js';
export * from './request-handler/edge-request-handler.js';
export * from './request-handler/shield-request-handler.js';
export * from './proxy/shutdown-phase.js';
