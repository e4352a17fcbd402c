/**
 * Heartbeats of a node to its registry: configuration and health, leases held or known, the last
 * applied purge, and a digest of the known rollout states.
 */

import { type Timestamp, noGeneration, transition } from '@switchwheel/types';
import type { NodeStatus } from '@switchwheel/transport';
import { type HeartbeatContent, releasesDigest, sendHeartbeat } from '@switchwheel/membership';
import { heldLeases } from './leader-candidacy.js';
import { isReady, mayServeFromCache } from './readiness.js';
import type { AgentTransition, NodeAgent } from './state.js';

const statusPhase = (state: NodeAgent): NodeStatus['phase'] => {
  if (state.failedUpdate !== undefined) return 'failed';
  if (state.compiledConfiguration === undefined) return 'none';
  return state.configUpdate.phase === 'idle' ? 'applied' : 'applying';
};

const failureStatus = ({ failedUpdate }: NodeAgent): Pick<NodeStatus, 'failed'> => {
  if (failedUpdate === undefined) return {};
  const { offer, text } = failedUpdate;
  return { failed: { generation: offer.generation, hash: offer.hash, text } };
};

const statusReport = (state: NodeAgent, now: Timestamp): NodeStatus => {
  const configuration = state.compiledConfiguration;
  const failureText = state.failedUpdate?.text;
  return {
    generation: configuration?.generation ?? noGeneration,
    ...(configuration === undefined ? {} : { hash: configuration.hash }),
    phase: statusPhase(state),
    ...failureStatus(state),
    ready: isReady(state, now),
    health: {
      name: 'proxy',
      healthy: failureText === undefined,
      text: failureText ?? '',
      parts: [{ name: 'cache', healthy: mayServeFromCache(state, now), text: '', parts: [] }],
    },
  };
};

/**
 * Digests by the map they were computed from, since heartbeats are far more frequent than changes
 * of the map.
 */
const digestCache = new WeakMap<NodeAgent['releaseStates'], string>();

const releaseStatesDigest = (releases: NodeAgent['releaseStates']): string => {
  const digest = digestCache.get(releases) ?? releasesDigest(releases.values());
  digestCache.set(releases, digest);
  return digest;
};

/** Returns the content of a heartbeat; `isLeaving` is set in the last one of a stopping node. */
export const heartbeatContent = (
  state: NodeAgent,
  now: Timestamp,
  { isLeaving } = { isLeaving: false },
): HeartbeatContent => ({
  report: statusReport(state, now),
  heldLeases: [...heldLeases(state, now), ...state.nodeSession.leaseHolders.values()],
  latestPurge: state.lastPurgeSeq,
  isLeaving,
  releasesDigest: releaseStatesDigest(state.releaseStates),
});

/** Sends a heartbeat immediately instead of at the next interval. */
export const sendHeartbeatNow = (
  state: NodeAgent,
  now: Timestamp,
  options = { isLeaving: false },
): AgentTransition => {
  const content = heartbeatContent(state, now, options);
  const sent = sendHeartbeat(state.nodeSession, content, now);
  return transition({ ...state, nodeSession: sent.state }, ...sent.effects);
};
