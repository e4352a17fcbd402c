/**
 * What a node may do with what it knows: accept requests, report ready, respond from its cache.
 */

import type { Timestamp } from '@switchwheel/types';
import { isConnected } from '@switchwheel/membership';
import type { NodeAgent } from './state.js';

/** How long a cache may serve after it was last known to have applied all purges (rule R7). */
export const cacheLeaseMs = 1500;

/**
 * Whether requests that arrive are served. A stopping node goes on for a while, as the platform needs
 * a moment to see that it is stopping.
 */
export const acceptsRequests = (state: NodeAgent, now: Timestamp): boolean =>
  state.compiledConfiguration !== undefined &&
  state.failedUpdate === undefined &&
  (state.isStopping || isConnected(state.nodeSession, now));

/** Whether the node reports ready: it serves, its session is alive, and it is not stopping. */
export const isReady = (state: NodeAgent, now: Timestamp): boolean =>
  acceptsRequests(state, now) && !state.isStopping;

/** Whether responses may come from a cache now. */
export const mayServeFromCache = (state: NodeAgent, now: Timestamp): boolean =>
  state.purgesCurrentAsOf !== undefined && now - state.purgesCurrentAsOf < cacheLeaseMs;
