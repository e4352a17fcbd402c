import {
  type ZoneName,
  type RandomState,
  type InstanceId,
  type Timestamp,
  type Release,
  type ServiceName,
  type Address,
  subtractMs,
  addMs,
  nextRandom,
  clockOrigin,
} from '@switchwheel/types';
import { type OriginTable, isLiveOrigin } from '@switchwheel/membership';

/** What this edge knows of one origin by its own requests. */
export interface EndpointStats {
  readonly instance: InstanceId;
  readonly service: ServiceName;
  address: Address;
  release: Release;
  zone: ZoneName | undefined;
  slots: number;
  warmingUpUntil: Timestamp;
  /** Requests of this edge that are there now. */
  inFlight: number;
  /** What an answer takes, in milliseconds; moving. */
  latencyEwmaMs: number;
  responseCount: number;
  consecutiveFailures: number;
  ejectedUntil: Timestamp;
}

/** How an origin is chosen. */
export interface BalancingPolicy {
  readonly zone: ZoneName;
  /** How much dearer an origin of another area counts. */
  readonly crossZoneCostFactor: number;
  /** How strongly the quicker is preferred. */
  readonly latencyExponent: number;
}

const initialLatencyMs = 100;
const ewmaWeight = 0.15;
const baseEjectionMs = 400;
const maxEjectionMs = 6000;

/** The origins of all services, as this edge sees them. A class with tables that change in place: each request changes them. */
export class EndpointTable {
  readonly #endpoints = new Map<InstanceId, EndpointStats>();
  readonly #endpointsByService = new Map<ServiceName, EndpointStats[]>();
  #randomState: RandomState;

  constructor(dice: RandomState) {
    this.#randomState = dice;
  }

  get(instance: InstanceId): EndpointStats | undefined {
    return this.#endpoints.get(instance);
  }

  ofService(service: ServiceName): readonly EndpointStats[] {
    return this.#endpointsByService.get(service) ?? [];
  }

  /** Takes over which origins stand; gives those that do not any more. */
  update(origins: OriginTable, now: Timestamp): readonly InstanceId[] {
    const seen = new Set<InstanceId>();
    for (const one of origins.values()) {
      if (!isLiveOrigin(one, now)) continue;
      seen.add(one.instance);
      const coldUntil =
        one.coldMs === undefined || one.coldMs <= 0
          ? clockOrigin
          : addMs(one.lastHeardAt, one.coldMs);
      const known = this.#endpoints.get(one.instance);
      if (known === undefined) {
        const nodeSession: EndpointStats = {
          instance: one.instance,
          service: one.service,
          address: one.address,
          release: one.release,
          zone: one.area,
          slots: one.slots,
          warmingUpUntil: coldUntil,
          inFlight: 0,
          latencyEwmaMs: this.#medianLatencyMs(one.service),
          responseCount: 0,
          consecutiveFailures: 0,
          ejectedUntil: clockOrigin,
        };
        this.#endpoints.set(one.instance, nodeSession);
        this.#endpointsByService.set(one.service, [...this.ofService(one.service), nodeSession]);
      } else {
        known.address = one.address;
        known.slots = one.slots;
        known.warmingUpUntil = coldUntil;
      }
    }
    const gone = [...this.#endpoints.keys()].filter((one) => !seen.has(one));
    for (const instance of gone) this.#remove(instance);
    return gone;
  }

  /** Chooses an origin: of two drawn by their speed, the one with less to do. */
  pick(
    service: ServiceName,
    tried: ReadonlySet<InstanceId>,
    taste: BalancingPolicy,
    room: number,
    fits: (one: EndpointStats) => boolean,
    now: Timestamp,
  ): EndpointStats | undefined {
    const all = this.ofService(service).filter((one) => one.inFlight < room && fits(one));
    const fresh = all.filter((one) => !tried.has(one.instance));
    const open = fresh.filter((one) => one.ejectedUntil <= now);
    // When all are barred, or tried, the one whose bar ends first is better than none.
    if (open.length === 0)
      return (fresh.length > 0 ? fresh : all).reduce<EndpointStats | undefined>(
        (best, one) => (best === undefined || one.ejectedUntil < best.ejectedUntil ? one : best),
        undefined,
      );
    const costs = new Map(open.map((one) => [one, this.#cost(one, taste, now)]));
    const weights = open.map((one) => one.slots / (costs.get(one) ?? 1) ** taste.latencyExponent);
    const [first, second] = [this.#drawWeighted(open, weights), this.#drawWeighted(open, weights)];
    const load = (one: EndpointStats): number =>
      ((one.inFlight + 1) / one.slots) * (costs.get(one) ?? 1);
    return first === undefined || second === undefined
      ? first
      : load(second) < load(first)
        ? second
        : first;
  }

  recordAttemptStart(one: EndpointStats): void {
    one.inFlight += 1;
  }

  /** A leg ended; `ms` is given for a whole answer that ran. */
  recordAttemptEnd(
    one: EndpointStats,
    ms: number | undefined,
    good: boolean,
    now: Timestamp,
  ): void {
    one.inFlight = Math.max(0, one.inFlight - 1);
    if (ms !== undefined) {
      const part = Math.max(ewmaWeight, 1 / (one.responseCount + 1));
      one.latencyEwmaMs += (ms - one.latencyEwmaMs) * part;
      one.responseCount += 1;
    }
    if (good) one.consecutiveFailures = 0;
    else this.#recordFailure(one, now);
  }

  /** An origin that turned a request away has no room now. */
  recordRejection(one: EndpointStats, now: Timestamp): void {
    one.inFlight = Math.max(0, one.inFlight - 1);
    one.ejectedUntil = addMs(now, 40);
  }

  /** The usual span of an answer of a service, or of one release of it. */
  typicalLatencyMs(service: ServiceName, release?: Release): number {
    return this.#medianLatencyMs(service, release);
  }

  /** The releases that have an origin. */
  releases(service: ServiceName): ReadonlySet<Release> {
    return new Set(this.ofService(service).map((one) => one.release));
  }

  #recordFailure(one: EndpointStats, now: Timestamp): void {
    one.consecutiveFailures += 1;
    if (one.consecutiveFailures >= 2)
      one.ejectedUntil = addMs(
        now,
        Math.min(maxEjectionMs, baseEjectionMs * 2 ** Math.min(6, one.consecutiveFailures - 2)),
      );
  }

  #medianLatencyMs(service: ServiceName, release?: Release): number {
    const known = this.ofService(service)
      .filter((one) => one.responseCount > 2 && (release === undefined || one.release === release))
      .map((one) => one.latencyEwmaMs)
      .sort((one, two) => one - two);
    return known[Math.floor(known.length / 2)] ?? initialLatencyMs;
  }

  #cost(one: EndpointStats, taste: BalancingPolicy, now: Timestamp): number {
    const cold = one.warmingUpUntil > subtractMs(now, 0) ? 2 : 1;
    const far = one.zone === undefined || one.zone === taste.zone ? 1 : taste.crossZoneCostFactor;
    return Math.max(1, one.latencyEwmaMs) * cold * far;
  }

  #drawWeighted(
    open: readonly EndpointStats[],
    weights: readonly number[],
  ): EndpointStats | undefined {
    const [chance, dice] = nextRandom(this.#randomState);
    this.#randomState = dice;
    let left = chance * weights.reduce((sum, one) => sum + one, 0);
    for (const [at, one] of open.entries()) {
      left -= weights[at] ?? 0;
      if (left < 0) return one;
    }
    return open.at(-1);
  }

  #remove(instance: InstanceId): void {
    const one = this.#endpoints.get(instance);
    if (one === undefined) return;
    this.#endpoints.delete(instance);
    const rest = this.ofService(one.service).filter((other) => other !== one);
    if (rest.length > 0) this.#endpointsByService.set(one.service, rest);
    else this.#endpointsByService.delete(one.service);
  }
}
