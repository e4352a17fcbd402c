import { type Proxy, isReady, mayServe, sumOf } from '@switchwheel/proxy-core';
import { now } from '@switchwheel/runtime';

/** The state of a proxy, as its operators may look at it. */
export const proxyView = (proxy: Proxy): object => {
  const at = now();
  const { cabin } = proxy;
  return {
    node: cabin.nodeSession.member.node,
    role: cabin.nodeSession.member.role,
    area: cabin.nodeSession.member.area,
    ready: isReady(cabin, at),
    registry: cabin.nodeSession.registryLink?.address ?? null,
    generation: cabin.table?.generation ?? 0,
    hash: cabin.table?.hash ?? null,
    fitting: cabin.fitting.phase,
    failed: cabin.failed?.text ?? null,
    purged: cabin.purged,
    cacheLease: mayServe(cabin, at),
    keepers: [...proxy.keepers.values()].map((one) => ({
      service: one.service,
      epoch: one.epoch,
      closing: one.closing,
      legs: one.legs.size,
      typicalMs: Math.round(one.typical),
      waitlist: [...one.waiting].map(([group, list]) => ({ class: group, waiting: list.length })),
      running: [...one.groups.keys()].map((group) => ({
        class: group,
        running: [...one.running.values()].filter((load) => load.group === group).length,
      })),
      shares: [...one.groups.values()].map((group) => ({ class: group.name, share: group.share })),
      budget: { traffic10s: sumOf(one.traffic, at), extra10s: sumOf(one.extra, at) },
      ceilingTokens: one.rules.perSecond === undefined ? null : Math.floor(one.tokens),
      origins: [...one.bays.values()].map((bay) => ({
        instance: bay.instance,
        address: bay.address,
        release: bay.release,
        slots: bay.slots,
        used: bay.used,
        up: bay.up,
        probe: bay.fit.probe,
        typicalMs: Math.round(bay.fit.typical),
        passedOverMs: Math.max(0, Math.round(bay.fit.barredUntil - at)),
      })),
      trials: [...one.trials.values()].map((trial) => ({
        release: trial.release,
        state: trial.state,
        used: trial.used,
        granted: trial.granted,
        good: trial.good,
        bad: trial.bad,
      })),
    })),
    forwarding: proxy.forward.wagons.size,
    holders: [...cabin.nodeSession.holders.values()],
    members: cabin.nodeSession.members.length,
  };
};
