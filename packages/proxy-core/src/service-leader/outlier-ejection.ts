/**
 * Outlier ejection: an endpoint that fails several times in a row, or responds far slower than the
 * others of its service, gets no attempts for a while, longer each time. Health checks count too.
 */

import { type InstanceId, type Timestamp, addMs, withEntry } from '@switchwheel/types';
import type { AttemptOutcome, Endpoint, EndpointHealth, ServiceLeader } from './state.js';

const firstEjectionMs = 500;
const maxEjectionMs = 8000;
const maxEjectionLevel = 6;
const failuresBeforeEjection = 3;
/** An endpoint is an outlier if its response time is this many times the median of the others. */
const outlierLatencyFactor = 4;
const outlierLatencyFloorMs = 40;
/** Below so many samples a response time says nothing. */
const minLatencySamples = 5;
const maxLatencySamples = 1000;
/** After how many responses the next ejection gets shorter again. */
const responsesPerEjectionLevel = 50;
/** How far the newest response time moves the moving average of its endpoint. */
const latencyWeight = 0.2;

/** The health of an endpoint that nothing is known of yet. */
export const newEndpointHealth = (now: Timestamp): EndpointHealth => ({
  consecutiveFailures: 0,
  latencyEwmaMs: 0,
  latencySamples: 0,
  ejectedUntil: now,
  ejectionLevel: 0,
  healthCheck: 'unknown',
});

/** Whether an endpoint may get attempts: it is live, not ejected, and its last health check passed. */
export const isAvailable = (endpoint: Endpoint, now: Timestamp): boolean =>
  endpoint.isLive && now >= endpoint.health.ejectedUntil && endpoint.health.healthCheck !== 'bad';

const eject = (health: EndpointHealth, now: Timestamp): EndpointHealth => {
  const ejectionLevel = Math.min(maxEjectionLevel, health.ejectionLevel + 1);
  const ejectionMs = Math.min(maxEjectionMs, firstEjectionMs * 2 ** (ejectionLevel - 1));
  return {
    ...health,
    ejectionLevel,
    consecutiveFailures: 0,
    ejectedUntil: addMs(now, ejectionMs),
  };
};

const median = (values: readonly number[]): number =>
  [...values].sort((left, right) => left - right)[Math.floor(values.length / 2)] ?? 0;

/** Whether an endpoint is far slower than the other available ones of its service. */
const isLatencyOutlier = (
  state: ServiceLeader,
  instance: InstanceId,
  health: EndpointHealth,
  now: Timestamp,
): boolean => {
  const others = [...state.endpoints.values()]
    .filter(
      (other) =>
        other.instance !== instance &&
        isAvailable(other, now) &&
        other.health.latencySamples >= minLatencySamples,
    )
    .map((other) => other.health.latencyEwmaMs);
  if (others.length === 0 || health.latencySamples < minLatencySamples) return false;
  return (
    health.latencyEwmaMs > Math.max(outlierLatencyFloorMs, outlierLatencyFactor * median(others))
  );
};

/** Draws a response time into an endpoint's health; a time-out counts as a failure as well. */
const withLatency = (
  health: EndpointHealth,
  isSuccess: boolean,
  durationMs: number,
): EndpointHealth => {
  const latencyEwmaMs =
    health.latencySamples === 0
      ? durationMs
      : health.latencyEwmaMs * (1 - latencyWeight) + durationMs * latencyWeight;
  const reducesLevel = isSuccess && health.latencySamples % responsesPerEjectionLevel === 0;
  return {
    ...health,
    latencyEwmaMs,
    latencySamples: Math.min(maxLatencySamples, health.latencySamples + 1),
    consecutiveFailures: isSuccess ? 0 : health.consecutiveFailures + 1,
    ejectionLevel: reducesLevel ? Math.max(0, health.ejectionLevel - 1) : health.ejectionLevel,
  };
};

const withOutcome = (
  health: EndpointHealth,
  outcome: AttemptOutcome,
  durationMs: number,
): EndpointHealth => {
  switch (outcome.kind) {
    case 'succeeded':
    case 'timedOut':
      return withLatency(health, outcome.kind === 'succeeded', durationMs);
    case 'originError':
    case 'lost':
    case 'notSent':
      return { ...health, consecutiveFailures: health.consecutiveFailures + 1 };
    case 'notRun':
    case 'cancelled':
      return health;
  }
};

/** How an attempt at an endpoint ended. */
export interface AttemptResult {
  readonly instance: InstanceId;
  readonly outcome: AttemptOutcome;
  readonly durationMs: number;
}

/** A leader's state after an outcome, and why the endpoint is ejected, if it is. */
export interface RecordedOutcome {
  readonly state: ServiceLeader;
  readonly ejectionReason: string | undefined;
}

/** Draws the outcome of an attempt into the health of its endpoint, which may be ejected for it. */
export const recordOutcome = (
  state: ServiceLeader,
  { instance, outcome, durationMs }: AttemptResult,
  now: Timestamp,
): RecordedOutcome => {
  const endpoint = state.endpoints.get(instance);
  if (endpoint === undefined) return { state, ejectionReason: undefined };
  let health = withOutcome(endpoint.health, outcome, durationMs);
  let ejectionReason: string | undefined;
  if (outcome.kind === 'succeeded' && isLatencyOutlier(state, instance, health, now)) {
    ejectionReason = `response time of ${Math.round(health.latencyEwmaMs)} ms`;
    health = { ...eject(health, now), latencySamples: 0 };
  }
  // Where no connection opens, one failure is enough.
  const failureLimit = outcome.kind === 'notSent' ? 1 : failuresBeforeEjection;
  if (health.consecutiveFailures >= failureLimit) {
    ejectionReason = `consecutive failures, the last one: ${outcome.kind}`;
    health = eject(health, now);
  }
  const endpoints = withEntry(state.endpoints, instance, { ...endpoint, health });
  return { state: { ...state, endpoints }, ejectionReason };
};

/** Draws the result of a health check into the health of its endpoint. */
export const recordHealthCheck = (
  state: ServiceLeader,
  instance: InstanceId,
  isHealthy: boolean,
): ServiceLeader => {
  const endpoint = state.endpoints.get(instance);
  if (endpoint === undefined) return state;
  const health: EndpointHealth = { ...endpoint.health, healthCheck: isHealthy ? 'good' : 'bad' };
  return { ...state, endpoints: withEntry(state.endpoints, instance, { ...endpoint, health }) };
};
