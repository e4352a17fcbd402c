/**
 * Outlier ejection: an endpoint with consecutive failures, or with a far higher latency than the
 * others of its service, receives no attempts for a while. The ejection time doubles with each
 * ejection. Endpoints with a failed health check are unavailable, too.
 */

import { type InstanceId, type Timestamp, addMs, withEntry } from '@switchwheel/types';
import type { AttemptOutcome, Endpoint, EndpointHealth, ServiceLeader } from './state.js';

const firstEjectionMs = 500;
const maxEjectionMs = 8000;
const maxEjectionLevel = 6;
const failuresBeforeEjection = 3;
/**
 * Latency, in multiples of the median of the other endpoints, above which an endpoint is an
 * outlier.
 */
const outlierLatencyFactor = 4;
const outlierLatencyFloorMs = 40;
/** Minimum number of samples for a latency to be compared. */
const minLatencySamples = 5;
const maxLatencySamples = 1000;
/** Number of responses after which a success lowers the ejection level by one. */
const responsesPerEjectionLevel = 50;
/** Weight of the newest sample in the moving average of an endpoint's latency. */
const latencyWeight = 0.2;

/** Returns the initial health of an endpoint. */
export const newEndpointHealth = (now: Timestamp): EndpointHealth => ({
  consecutiveFailures: 0,
  latencyEwmaMs: 0,
  latencySamples: 0,
  ejectedUntil: now,
  ejectionLevel: 0,
  healthCheck: 'unknown',
});

/**
 * Whether an endpoint may receive attempts: it is live and not ejected, and its last health check
 * did not fail.
 */
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

/** Whether an endpoint is far slower than the other available endpoints of its service. */
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

/** Records a response time; that of a timed-out attempt also counts as a failure. */
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

/** Outcome of an attempt at an endpoint, with its duration. */
export interface AttemptResult {
  readonly instance: InstanceId;
  readonly outcome: AttemptOutcome;
  readonly durationMs: number;
}

/**
 * State of a leader after an outcome, and the reason for ejecting the endpoint, if it was ejected.
 */
export interface RecordedOutcome {
  readonly state: ServiceLeader;
  readonly ejectionReason: string | undefined;
}

/**
 * Records the outcome of an attempt in the health of its endpoint and ejects the endpoint if
 * needed.
 */
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
    ejectionReason = `average response time of ${Math.round(health.latencyEwmaMs)} ms is far above the median of the other endpoints`;
    health = { ...eject(health, now), latencySamples: 0 };
  }
  // A failed connection attempt ejects the endpoint at once.
  const failureLimit = outcome.kind === 'notSent' ? 1 : failuresBeforeEjection;
  if (health.consecutiveFailures >= failureLimit) {
    ejectionReason = `too many consecutive failures, last outcome: ${outcome.kind}`;
    health = eject(health, now);
  }
  const endpoints = withEntry(state.endpoints, instance, { ...endpoint, health });
  return { state: { ...state, endpoints }, ejectionReason };
};

/** Records the result of a health check. */
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
