/**
 * State of a proxy as shown by `/state` of the admin server. The keys are part of the operators' interface and may differ
 * from the names used in the code.
 */

import {
  type Endpoint,
  type NodeAgent,
  type ProxyState,
  type ServiceLeader,
  isReady,
  mayServeFromCache,
  windowSum,
} from '@switchwheel/proxy-core';
import type { Timestamp } from '@switchwheel/types';
import { now } from '@switchwheel/runtime';

/** Returns the state as a JSON-serializable object. */
export const proxyView = ({ nodeAgent, leaders, forwarding }: ProxyState): object => {
  const at = now();
  const { leaseHolders, members } = nodeAgent.nodeSession;
  return {
    ...nodeView(nodeAgent, at),
    keepers: [...leaders.values()].map((leader) => leaderView(leader, at)),
    forwarding: forwarding.requests.size,
    holders: [...leaseHolders.values()],
    members: members.length,
  };
};

const nodeView = (nodeAgent: NodeAgent, at: Timestamp): object => {
  const { compiledConfiguration, nodeSession } = nodeAgent;
  const { node, role, area } = nodeSession.member;
  return {
    node,
    role,
    area,
    ready: isReady(nodeAgent, at),
    registry: nodeSession.registryLink?.address ?? null,
    generation: compiledConfiguration?.generation ?? 0,
    hash: compiledConfiguration?.hash ?? null,
    fitting: nodeAgent.configUpdate.phase,
    failed: nodeAgent.failedUpdate?.text ?? null,
    purged: nodeAgent.lastPurgeSeq,
    cacheLease: mayServeFromCache(nodeAgent, at),
  };
};

const leaderView = (leader: ServiceLeader, at: Timestamp): object => {
  const classes = [...leader.classes.values()];
  const active = [...leader.activeRequests.values()];
  return {
    service: leader.service,
    epoch: leader.epoch,
    closing: leader.isClosing,
    legs: leader.attempts.size,
    typicalMs: Math.round(leader.latencyEwmaMs),
    waitlist: [...leader.queues].map(([name, queue]) => ({ class: name, waiting: queue.length })),
    running: [...leader.classes.keys()].map((name) => ({
      class: name,
      running: active.filter((request) => request.className === name).length,
    })),
    shares: classes.map(({ name, share }) => ({ class: name, share })),
    budget: {
      traffic10s: windowSum(leader.recentRequests, at),
      extra10s: windowSum(leader.recentExtraAttempts, at),
    },
    ceilingTokens:
      leader.serviceConfiguration.perSecond === undefined ? null : Math.floor(leader.tokens),
    origins: [...leader.endpoints.values()].map((endpoint) => endpointView(endpoint, at)),
    trials: [...leader.canaries.values()].map((canary) => ({
      release: canary.release,
      state: canary.state,
      used: canary.usedRequests,
      granted: canary.reservedRequests,
      good: canary.successes,
      bad: canary.failures,
    })),
  };
};

const endpointView = (endpoint: Endpoint, at: Timestamp): object => ({
  instance: endpoint.instance,
  address: endpoint.address,
  release: endpoint.release,
  slots: endpoint.slots,
  used: endpoint.activeAttempts,
  up: endpoint.isLive,
  probe: endpoint.health.healthCheck,
  typicalMs: Math.round(endpoint.health.latencyEwmaMs),
  passedOverMs: Math.max(0, Math.round(endpoint.health.ejectedUntil - at)),
});
