/**
 * What a node reports to its registry with each heartbeat: its configuration and health, the leases
 * that it holds or knows of, the purges it has applied, the rollout states it has seen.
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

/** Digests by the map that they are of: heartbeats are far more frequent than changes. */
const digestCache = new WeakMap<NodeAgent['releaseStates'], string>();

const releaseStatesDigest = (releases: NodeAgent['releaseStates']): string => {
  const digest = digestCache.get(releases) ?? releasesDigest(releases.values());
  digestCache.set(releases, digest);
  return digest;
};

/** The content of a heartbeat now; the last one of a stopping node says that it is leaving. */
export const heartbeatContent = (
  state: NodeAgent,
  now: Timestamp,
  { isLeaving } = { isLeaving: false },
): HeartbeatContent => ({
  report: statusReport(state, now),
  heldLeases: [...heldLeases(state, now), ...state.nodeSession.holders.values()],
  latestPurge: state.lastPurgeSeq,
  isLeaving,
  releasesDigest: releaseStatesDigest(state.releaseStates),
});

/** Sends a heartbeat at once, without waiting for its interval. */
export const sendHeartbeatNow = (
  state: NodeAgent,
  now: Timestamp,
  options = { isLeaving: false },
): AgentTransition => {
  const content = heartbeatContent(state, now, options);
  const sent = sendHeartbeat(state.nodeSession, content, now);
  return transition({ ...state, nodeSession: sent.state }, ...sent.effects);
};
