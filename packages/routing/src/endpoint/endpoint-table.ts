/**
 * The endpoints of all services as one edge sees them: load balancing by the power of two choices, weighted by latency,
 * and outlier ejection by consecutive failures. Statistics come from this edge's own requests only.
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

/** What this edge knows of one origin instance. */
export interface EndpointStats {
  readonly instance: InstanceId;
  readonly service: ServiceName;
  address: Address;
  release: Release;
  zone: ZoneName | undefined;
  /** How many requests it can run at once. */
  slots: number;
  warmingUpUntil: Timestamp;
  /** This edge's requests that are in flight to it. */
  inFlight: number;
  /** Exponentially weighted moving average of the time to a complete response. */
  latencyEwmaMs: number;
  responseCount: number;
  consecutiveFailures: number;
  ejectedUntil: Timestamp;
}

/** How endpoints are weighed against each other. */
export interface BalancingPolicy {
  readonly zone: ZoneName;
  /** By which factor an endpoint of another zone costs more. */
  readonly crossZoneCostFactor: number;
  /** How strongly quicker endpoints are preferred. */
  readonly latencyExponent: number;
}

/** The latency of a service from which no response has come yet. */
const initialLatencyMs = 100;
const ewmaWeight = 0.15;
/** Responses that an endpoint must have given for its latency to count towards its service's. */
const minResponsesForMedian = 3;
const failuresToEject = 2;
const baseEjectionMs = 400;
const maxEjectionMs = 6000;
const maxEjectionDoublings = 6;
/** How long an endpoint is passed over that rejected a request for lack of capacity. */
const rejectionEjectionMs = 40;
const warmingUpCostFactor = 2;

/** The endpoints of all services. Its tables change in place, as each request changes them. */
export class EndpointTable {
  readonly #endpoints = new Map<InstanceId, EndpointStats>();
  readonly #endpointsByService = new Map<ServiceName, EndpointStats[]>();
  readonly #random: RandomSource;

  constructor(randomState: RandomState) {
    this.#random = new RandomSource(randomState);
  }

  /** The endpoint of an instance, if it is known and live. */
  get(instance: InstanceId): EndpointStats | undefined {
    return this.#endpoints.get(instance);
  }

  /** The endpoints of a service. */
  ofService(service: ServiceName): readonly EndpointStats[] {
    return this.#endpointsByService.get(service) ?? [];
  }

  /** Adopts the fleet's live origins; gives the instances that are gone. */
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
    const gone = [...this.#endpoints.keys()].filter((instance) => !live.has(instance));
    for (const instance of gone) this.#remove(instance);
    return gone;
  }

  /**
   * Picks an endpoint that is eligible and has less than `maxInFlight` requests: of two drawn by their latency, the less
   * loaded one. The arguments are positional, as this runs for each attempt.
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
    // When all are ejected, or tried, the one whose ejection ends first is better than none.
    if (candidates.length === 0) return soonestAvailable(untried.length > 0 ? untried : available);
    return this.#pickOfTwo(candidates, policy, now);
  }

  /** An attempt is sent to an endpoint. */
  recordAttemptStart(endpoint: EndpointStats): void {
    endpoint.inFlight += 1;
  }

  /** An attempt ended; `latencyMs` is given if the origin ran it and its response was complete. */
  recordAttemptEnd(
    endpoint: EndpointStats,
    latencyMs: number | undefined,
    isSuccess: boolean,
    now: Timestamp,
  ): void {
    endpoint.inFlight = Math.max(0, endpoint.inFlight - 1);
    if (latencyMs !== undefined) {
      // The first responses weigh more: the average is then the arithmetic one.
      const weight = Math.max(ewmaWeight, 1 / (endpoint.responseCount + 1));
      endpoint.latencyEwmaMs += (latencyMs - endpoint.latencyEwmaMs) * weight;
      endpoint.responseCount += 1;
    }
    if (isSuccess) endpoint.consecutiveFailures = 0;
    else recordFailure(endpoint, now);
  }

  /** An endpoint rejected a request without running it: it has no capacity now. */
  recordRejection(endpoint: EndpointStats, now: Timestamp): void {
    endpoint.inFlight = Math.max(0, endpoint.inFlight - 1);
    endpoint.ejectedUntil = addMs(now, rejectionEjectionMs);
  }

  /** The median latency of a service's endpoints, or of those of one release. */
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

  /** The releases that a service has endpoints of. */
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

/** Each failure beyond the first ones doubles the time of the ejection, up to a bound. */
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
