/**
 * Request routing of an edge that sends requests directly to origins: request state machine, load balancing, quotas,
 * request coalescing, caching and object sharing. Sockets and HTTP are handled by the proxy package.
 */

export * from './token-bucket/token-bucket.js';
export * from './attempt-state/attempt-state.js';
export * from './endpoint/endpoint-table.js';
export * from './rollout/rollout-counters.js';
export * from './router/ports.js';
export * from './quota/quota-share.js';
export { EdgeRouter, type EdgeRouterOptions } from './router/edge-router.js';
export * from './object-sharing/object-owners.js';
export * from './object-sharing/object-sharing.js';
export * from './object-sharing/peer-bandwidth.js';
