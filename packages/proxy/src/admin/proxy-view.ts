import { type ProxyState, isReady, mayServeFromCache, windowSum } from '@switchwheel/proxy-core';
import { now } from '@switchwheel/runtime';

/** The state of a proxy, as its operators may look at it. */
export const proxyView = (proxy: ProxyState): object => {
  const at = now();
  const { nodeAgent } = proxy;
  return {
    node: nodeAgent.nodeSession.member.node,
    role: nodeAgent.nodeSession.member.role,
    area: nodeAgent.nodeSession.member.area,
    ready: isReady(nodeAgent, at),
    registry: nodeAgent.nodeSession.registryLink?.address ?? null,
    generation: nodeAgent.compiledConfiguration?.generation ?? 0,
    hash: nodeAgent.compiledConfiguration?.hash ?? null,
    fitting: nodeAgent.configUpdate.phase,
    failed: nodeAgent.failedUpdate?.text ?? null,
    purged: nodeAgent.lastPurgeSeq,
    cacheLease: mayServeFromCache(nodeAgent, at),
    keepers: [...proxy.leaders.values()].map((one) => ({
      service: one.service,
      epoch: one.epoch,
      closing: one.isClosing,
      legs: one.attempts.size,
      typicalMs: Math.round(one.latencyEwmaMs),
      waitlist: [...one.queues].map(([group, list]) => ({ class: group, waiting: list.length })),
      running: [...one.classes.keys()].map((group) => ({
        class: group,
        running: [...one.activeRequests.values()].filter((load) => load.className === group).length,
      })),
      shares: [...one.classes.values()].map((group) => ({ class: group.name, share: group.share })),
      budget: {
        traffic10s: windowSum(one.recentRequests, at),
        extra10s: windowSum(one.recentExtraAttempts, at),
      },
      ceilingTokens:
        one.serviceConfiguration.perSecond === undefined ? null : Math.floor(one.tokens),
      origins: [...one.endpoints.values()].map((bay) => ({
        instance: bay.instance,
        address: bay.address,
        release: bay.release,
        slots: bay.slots,
        used: bay.activeAttempts,
        up: bay.isLive,
        probe: bay.health.healthCheck,
        typicalMs: Math.round(bay.health.latencyEwmaMs),
        passedOverMs: Math.max(0, Math.round(bay.health.ejectedUntil - at)),
      })),
      trials: [...one.canaries.values()].map((trial) => ({
        release: trial.release,
        state: trial.state,
        used: trial.usedRequests,
        granted: trial.reservedRequests,
        good: trial.successes,
        bad: trial.failures,
      })),
    })),
    forwarding: proxy.forwarding.requests.size,
    holders: [...nodeAgent.nodeSession.holders.values()],
    members: nodeAgent.nodeSession.members.length,
  };
};
