import { type InstanceId, type Timestamp, addMs, withEntry } from '@switchwheel/types';
import { type OriginTable, isLiveOrigin } from '@switchwheel/membership';
import type { Endpoint, EndpointHealth, ServiceLeader, AttemptOutcome } from './state.js';

const firstEjectionMs = 500;
const maxEjectionMs = 8000;
const failuresBeforeEjection = 3;
const slowStartMs = 1000;
const outlierLatencyFactor = 4;
const outlierLatencyFloorMs = 40;

const newEndpointHealth = (now: Timestamp): EndpointHealth => ({
  consecutiveFailures: 0,
  latencyEwmaMs: 0,
  latencySamples: 0,
  ejectedUntil: now,
  ejectionLevel: 0,
  healthCheck: 'unknown',
});

/** Takes the origins of the service in as they are known now. */
export const updateEndpoints = (
  state: ServiceLeader,
  origins: OriginTable,
  now: Timestamp,
): ServiceLeader => {
  const bays = new Map<InstanceId, Endpoint>();
  for (const one of origins.values()) {
    if (one.service !== state.service) continue;
    const known = state.endpoints.get(one.instance);
    const up = isLiveOrigin(one, now);
    if (!up && known === undefined) continue;
    bays.set(one.instance, {
      instance: one.instance,
      address: one.address,
      release: one.release,
      slots: one.slots,
      activeAttempts: known?.activeAttempts ?? 0,
      lastAttemptId: known?.lastAttemptId ?? 0,
      lastCheckedAt: known?.lastCheckedAt,
      isLive: up,
      health: known?.health ?? newEndpointHealth(now),
    });
  }
  for (const [id, bay] of state.endpoints)
    if (!bays.has(id) && bay.activeAttempts > 0) bays.set(id, { ...bay, isLive: false });
  return { ...state, endpoints: bays };
};

/** Slots a bay may fill now: a new keeper ramps in, as legs of the one before may still run there. */
export const endpointCapacity = (state: ServiceLeader, bay: Endpoint, now: Timestamp): number =>
  now - state.startedAt < slowStartMs ? Math.max(1, Math.ceil(bay.slots / 2)) : bay.slots;

export const isAvailable = (bay: Endpoint, now: Timestamp): boolean =>
  bay.isLive && now >= bay.health.ejectedUntil && bay.health.healthCheck !== 'bad';

export const totalCapacity = (state: ServiceLeader, now: Timestamp): number => {
  let sum = 0;
  for (const bay of state.endpoints.values())
    if (isAvailable(bay, now)) sum += endpointCapacity(state, bay, now);
  return sum;
};

const eject = (fit: EndpointHealth, now: Timestamp): EndpointHealth => {
  const barred = Math.min(6, fit.ejectionLevel + 1);
  return {
    ...fit,
    ejectionLevel: barred,
    consecutiveFailures: 0,
    ejectedUntil: addMs(now, Math.min(maxEjectionMs, firstEjectionMs * 2 ** (barred - 1))),
  };
};

const median = (list: readonly number[]): number =>
  [...list].sort((one, two) => one - two)[Math.floor(list.length / 2)] ?? 0;

/** Whether a bay is far slower than the others of its service. */
const isLatencyOutlier = (state: ServiceLeader, bay: Endpoint, now: Timestamp): boolean => {
  const others = [...state.endpoints.values()]
    .filter(
      (one) =>
        one.instance !== bay.instance && isAvailable(one, now) && one.health.latencySamples >= 5,
    )
    .map((one) => one.health.latencyEwmaMs);
  if (others.length === 0 || bay.health.latencySamples < 5) return false;
  return (
    bay.health.latencyEwmaMs >
    Math.max(outlierLatencyFloorMs, outlierLatencyFactor * median(others))
  );
};

/** Draws what became of a leg into the health of its bay. */
export const recordOutcome = (
  state: ServiceLeader,
  instance: InstanceId,
  how: AttemptOutcome,
  ms: number,
  now: Timestamp,
): { readonly state: ServiceLeader; readonly barred: string | undefined } => {
  const bay = state.endpoints.get(instance);
  if (bay === undefined) return { state, barred: undefined };
  let fit = bay.health;
  let text: string | undefined;
  if (how.kind === 'good' || how.kind === 'slow') {
    const typical = fit.latencySamples === 0 ? ms : fit.latencyEwmaMs * 0.8 + ms * 0.2;
    fit = {
      ...fit,
      latencyEwmaMs: typical,
      latencySamples: Math.min(1000, fit.latencySamples + 1),
      consecutiveFailures: how.kind === 'good' ? 0 : fit.consecutiveFailures + 1,
      ejectionLevel:
        how.kind === 'good' && fit.latencySamples % 50 === 0
          ? Math.max(0, fit.ejectionLevel - 1)
          : fit.ejectionLevel,
    };
    if (how.kind === 'good' && isLatencyOutlier({ ...state }, { ...bay, health: fit }, now)) {
      fit = { ...eject(fit, now), latencySamples: 0 };
      text = `slow: ${Math.round(typical)} ms`;
    }
  } else if (how.kind === 'bad' || how.kind === 'lost' || how.kind === 'unopened') {
    fit = { ...fit, consecutiveFailures: fit.consecutiveFailures + 1 };
  }
  if (fit.consecutiveFailures >= (how.kind === 'unopened' ? 1 : failuresBeforeEjection)) {
    fit = eject(fit, now);
    text = `${how.kind} answers`;
  }
  return {
    state: { ...state, endpoints: withEntry(state.endpoints, instance, { ...bay, health: fit }) },
    barred: text,
  };
};

/** Draws a probe into the health of its bay. */
export const recordHealthCheck = (
  state: ServiceLeader,
  instance: InstanceId,
  good: boolean,
): ServiceLeader => {
  const bay = state.endpoints.get(instance);
  if (bay === undefined) return state;
  const fit: EndpointHealth = good
    ? { ...bay.health, healthCheck: 'good' }
    : { ...bay.health, healthCheck: 'bad' };
  return { ...state, endpoints: withEntry(state.endpoints, instance, { ...bay, health: fit }) };
};

/** How much more loaded than the best a bay may be and still take its turn. */
const loadTolerance = 1.5;

/** Among the bays a request may go to, those with about the least load take turns. */
export const pickEndpoint = (
  state: ServiceLeader,
  may: (bay: Endpoint) => boolean,
  now: Timestamp,
): Endpoint | undefined => {
  const open: { readonly bay: Endpoint; readonly load: number }[] = [];
  for (const bay of state.endpoints.values()) {
    const room = endpointCapacity(state, bay, now);
    if (!isAvailable(bay, now) || bay.activeAttempts >= room || !may(bay)) continue;
    open.push({
      bay,
      load: ((bay.activeAttempts + 1) / room) * (1 + bay.health.latencyEwmaMs / 50),
    });
  }
  const least = Math.min(...open.map((one) => one.load));
  return open
    .filter((one) => one.load <= least * loadTolerance)
    .sort((one, two) => one.bay.lastAttemptId - two.bay.lastAttemptId)[0]?.bay;
};
