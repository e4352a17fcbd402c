/**
 * Endpoints of all services as seen by one edge. Load balancing uses the power of two choices, weighted by latency;
 * outliers are ejected after consecutive failures. Statistics cover only this edge's own requests.
 */

import {
  type Address,
  type InstanceId,
  type RandomState,
  type Release,
  type ServiceName,
  type Timestamp,
  type ZoneName,
  addMs,
  clockOrigin,
} from '@switchwheel/types';
import { type OriginTable, isLiveOrigin } from '@switchwheel/membership';
import { RandomSource } from '../random/random-source.js';

/** Address, capacity and statistics of one origin instance. */
export interface EndpointStats {
  readonly instance: InstanceId;
  readonly service: ServiceName;
  address: Address;
  release: Release;
  zone: ZoneName | undefined;
  /** Number of requests that the instance can run concurrently. */
  slots: number;
  warmingUpUntil: Timestamp;
  /** Attempts of this edge in flight to the instance. */
  inFlight: number;
  /** Exponentially weighted moving average of the time until a complete response is received. */
  latencyEwmaMs: number;
  responseCount: number;
  consecutiveFailures: number;
  ejectedUntil: Timestamp;
}

/** Parameters for the comparison of endpoints. */
export interface BalancingPolicy {
  readonly zone: ZoneName;
  /** Factor applied to the cost of endpoints in other zones. */
  readonly crossZoneCostFactor: number;
  /** Exponent of the cost in the weights; higher values prefer fast endpoints more. */
  readonly latencyExponent: number;
}

/** Assumed latency of a service before its first responses. */
const initialLatencyMs = 100;
const ewmaWeight = 0.15;
/** Minimum number of responses before an endpoint's latency counts in the median of its service. */
const minResponsesForMedian = 3;
const failuresToEject = 2;
const baseEjectionMs = 400;
const maxEjectionMs = 6000;
const maxEjectionDoublings = 6;
/** Ejection time of an endpoint that rejected a request without running it. */
const rejectionEjectionMs = 40;
const warmingUpCostFactor = 2;

/** Endpoints of all services, updated in place. */
export class EndpointTable {
  readonly #endpoints = new Map<InstanceId, EndpointStats>();
  readonly #endpointsByService = new Map<ServiceName, EndpointStats[]>();
  readonly #random: RandomSource;

  constructor(randomState: RandomState) {
    this.#random = new RandomSource(randomState);
  }

  /** Returns the endpoint of an instance, if it is known and live. */
  get(instance: InstanceId): EndpointStats | undefined {
    return this.#endpoints.get(instance);
  }

  /** Returns the endpoints of a service. */
  ofService(service: ServiceName): readonly EndpointStats[] {
    return this.#endpointsByService.get(service) ?? [];
  }

  /** Synchronizes the table with the fleet's live origins; returns the instances that were removed. */
  update(origins: OriginTable, now: Timestamp): readonly InstanceId[] {
    const live = new Set<InstanceId>();
    for (const origin of origins.values()) {
      if (!isLiveOrigin(origin, now)) continue;
      live.add(origin.instance);
      const endpoint = this.#endpoints.get(origin.instance);
      if (endpoint === undefined) this.#add(origin);
      else {
        endpoint.address = origin.address;
        endpoint.slots = origin.slots;
        endpoint.warmingUpUntil = warmUpEnd(origin);
      }
    }
    const removed = [...this.#endpoints.keys()].filter((instance) => !live.has(instance));
    for (const instance of removed) this.#remove(instance);
    return removed;
  }

  /**
   * Selects an eligible endpoint with fewer than `maxInFlight` requests: the less loaded of two that are drawn at random
   * with weights by latency and slots. The arguments are positional to avoid an allocation per attempt.
   */
  pick(
    service: ServiceName,
    triedInstances: ReadonlySet<InstanceId>,
    policy: BalancingPolicy,
    maxInFlight: number,
    isEligible: (endpoint: EndpointStats) => boolean,
    now: Timestamp,
  ): EndpointStats | undefined {
    const available = this.ofService(service).filter(
      (endpoint) => endpoint.inFlight < maxInFlight && isEligible(endpoint),
    );
    const untried = available.filter(({ instance }) => !triedInstances.has(instance));
    const candidates = untried.filter(({ ejectedUntil }) => ejectedUntil <= now);
    // If all endpoints are ejected or tried, falls back to the one whose ejection ends first.
    if (candidates.length === 0) return soonestAvailable(untried.length > 0 ? untried : available);
    return this.#pickOfTwo(candidates, policy, now);
  }

  /** Records that an attempt is sent to an endpoint. */
  recordAttemptStart(endpoint: EndpointStats): void {
    endpoint.inFlight += 1;
  }

  /** Records the end of an attempt; `latencyMs` is defined if its latency counts in the average. */
  recordAttemptEnd(
    endpoint: EndpointStats,
    latencyMs: number | undefined,
    isSuccess: boolean,
    now: Timestamp,
  ): void {
    endpoint.inFlight = Math.max(0, endpoint.inFlight - 1);
    if (latencyMs !== undefined) {
      // Starts as the arithmetic mean, until enough responses have been received.
      const weight = Math.max(ewmaWeight, 1 / (endpoint.responseCount + 1));
      endpoint.latencyEwmaMs += (latencyMs - endpoint.latencyEwmaMs) * weight;
      endpoint.responseCount += 1;
    }
    if (isSuccess) endpoint.consecutiveFailures = 0;
    else recordFailure(endpoint, now);
  }

  /** Records that an endpoint rejected a request without running it, and ejects the endpoint briefly. */
  recordRejection(endpoint: EndpointStats, now: Timestamp): void {
    endpoint.inFlight = Math.max(0, endpoint.inFlight - 1);
    endpoint.ejectedUntil = addMs(now, rejectionEjectionMs);
  }

  /** Returns the median latency of a service's endpoints, optionally of one release only. */
  typicalLatencyMs(service: ServiceName, release?: Release): number {
    const latencies = this.ofService(service)
      .filter(
        (endpoint) =>
          endpoint.responseCount >= minResponsesForMedian &&
          (release === undefined || endpoint.release === release),
      )
      .map(({ latencyEwmaMs }) => latencyEwmaMs)
      .sort((left, right) => left - right);
    return latencies[Math.floor(latencies.length / 2)] ?? initialLatencyMs;
  }

  /** Returns the releases of a service's endpoints. */
  releases(service: ServiceName): ReadonlySet<Release> {
    return new Set(this.ofService(service).map(({ release }) => release));
  }

  #pickOfTwo(
    candidates: readonly EndpointStats[],
    policy: BalancingPolicy,
    now: Timestamp,
  ): EndpointStats | undefined {
    const costs = new Map(candidates.map((endpoint) => [endpoint, costOf(endpoint, policy, now)]));
    const weights = candidates.map(
      (endpoint) => endpoint.slots / (costs.get(endpoint) ?? 1) ** policy.latencyExponent,
    );
    const first = this.#drawWeighted(candidates, weights);
    const second = this.#drawWeighted(candidates, weights);
    if (first === undefined || second === undefined) return first;
    const load = (endpoint: EndpointStats): number =>
      ((endpoint.inFlight + 1) / endpoint.slots) * (costs.get(endpoint) ?? 1);
    return load(second) < load(first) ? second : first;
  }

  #drawWeighted(
    candidates: readonly EndpointStats[],
    weights: readonly number[],
  ): EndpointStats | undefined {
    let remaining = this.#random.next() * weights.reduce((sum, weight) => sum + weight, 0);
    for (const [index, candidate] of candidates.entries()) {
      remaining -= weights[index] ?? 0;
      if (remaining < 0) return candidate;
    }
    return candidates.at(-1);
  }

  #add(origin: Origin): void {
    const { instance, service } = origin;
    const endpoint: EndpointStats = {
      instance,
      service,
      address: origin.address,
      release: origin.release,
      zone: origin.area,
      slots: origin.slots,
      warmingUpUntil: warmUpEnd(origin),
      inFlight: 0,
      latencyEwmaMs: this.typicalLatencyMs(service),
      responseCount: 0,
      consecutiveFailures: 0,
      ejectedUntil: clockOrigin,
    };
    this.#endpoints.set(instance, endpoint);
    this.#endpointsByService.set(service, [...this.ofService(service), endpoint]);
  }

  #remove(instance: InstanceId): void {
    const endpoint = this.#endpoints.get(instance);
    if (endpoint === undefined) return;
    const { service } = endpoint;
    this.#endpoints.delete(instance);
    const others = this.ofService(service).filter((other) => other !== endpoint);
    if (others.length > 0) this.#endpointsByService.set(service, others);
    else this.#endpointsByService.delete(service);
  }
}

type Origin = OriginTable extends ReadonlyMap<InstanceId, infer Entry> ? Entry : never;

const warmUpEnd = ({ coldMs, lastHeardAt }: Origin): Timestamp =>
  coldMs === undefined || coldMs <= 0 ? clockOrigin : addMs(lastHeardAt, coldMs);

const soonestAvailable = (endpoints: readonly EndpointStats[]): EndpointStats | undefined =>
  endpoints.reduce<EndpointStats | undefined>(
    (best, endpoint) =>
      best === undefined || endpoint.ejectedUntil < best.ejectedUntil ? endpoint : best,
    undefined,
  );

/** Ejects an endpoint after consecutive failures; each further failure doubles the ejection time up to a maximum. */
const recordFailure = (endpoint: EndpointStats, now: Timestamp): void => {
  endpoint.consecutiveFailures += 1;
  const excess = endpoint.consecutiveFailures - failuresToEject;
  if (excess < 0) return;
  const ejectionMs = baseEjectionMs * 2 ** Math.min(maxEjectionDoublings, excess);
  endpoint.ejectedUntil = addMs(now, Math.min(maxEjectionMs, ejectionMs));
};

const costOf = (endpoint: EndpointStats, policy: BalancingPolicy, now: Timestamp): number => {
  const { zone, warmingUpUntil, latencyEwmaMs } = endpoint;
  const warmUpFactor = warmingUpUntil > now ? warmingUpCostFactor : 1;
  const zoneFactor = zone === undefined || zone === policy.zone ? 1 : policy.crossZoneCostFactor;
  return Math.max(1, latencyEwmaMs) * warmUpFactor * zoneFactor;
};
