/**
 * Readiness of a node: whether it may accept requests, report ready and respond from its cache.
 */

import type { Timestamp } from '@switchwheel/types';
import { isConnected } from '@switchwheel/membership';
import type { NodeAgent } from './state.js';

/** Time for which a cache may serve after it was last known to have applied all purges (rule R7). */
export const cacheLeaseMs = 1500;

/**
 * Whether arriving requests are served. A stopping node continues to accept them for a while, until
 * the platform stops routing requests to it.
 */
export const acceptsRequests = (state: NodeAgent, now: Timestamp): boolean =>
  state.compiledConfiguration !== undefined &&
  state.failedUpdate === undefined &&
  (state.isStopping || isConnected(state.nodeSession, now));

/** Whether the node reports ready: it accepts requests and is not stopping. */
export const isReady = (state: NodeAgent, now: Timestamp): boolean =>
  acceptsRequests(state, now) && !state.isStopping;

/** Whether responses may be served from a cache. */
export const mayServeFromCache = (state: NodeAgent, now: Timestamp): boolean =>
  state.purgesCurrentAsOf !== undefined && now - state.purgesCurrentAsOf < cacheLeaseMs;
