/**
 * An edge's share of what the whole fleet may send to a service. Edges do not coordinate: each takes an equal share, so
 * that the sum keeps the limits whichever edge is partitioned, restarts or stalls.
 */

import {
  type ServiceName,
  type Timestamp,
  addMs,
  clockOrigin,
  subtractMs,
} from '@switchwheel/types';
import type { Service } from '@switchwheel/configuration';
import type { EdgeLimits } from '../router/ports.js';
import {
  type RefillRate,
  type TokenBucket,
  addTokens,
  newTokenBucket,
  refill,
  takeToken,
  nextTokenDelayMs,
} from '../token-bucket/token-bucket.js';

/** How long an edge that is no longer seen still counts: its share may be in use. */
const edgeCountWindowMs = 30_000;
/** How long a service counts as scarce after this edge's share of its rate ran out. */
const scarcityDurationMs = 5000;
/** Fetches a second below which an edge can't fill a cache by itself. */
const minCacheFillPerSecond = 5;

/** What of the allowed extra attempts is used: by the ratio to requests, and by the slack. The rest is a margin. */
const extraAttemptRatioUtilization = 0.75;
const extraAttemptSlackUtilization = 0.4;
/** What of a service's rate, of the allowed overage and of its connections is used. */
const serviceRateUtilization = 0.97;
const overageUtilization = 0.8;
const connectionUtilization = 0.9;

/** How many edges share the limits: the most that were seen in a while. */
export class EdgeCount {
  #observations: readonly { readonly count: number; readonly at: Timestamp }[] = [];

  /** Notes how many edges are seen now. */
  record(count: number, now: Timestamp): void {
    const latest = { count, at: now };
    const previous = this.#observations.at(-1);
    const earlier =
      previous?.count === count
        ? this.#observations.slice(0, -1)
        : this.#observations.filter(({ at }) => at > subtractMs(now, edgeCountWindowMs));
    this.#observations = [...earlier, latest];
  }

  /** The number of edges, 1 at least. */
  get count(): number {
    return this.#observations.reduce((highest, { count }) => Math.max(highest, count), 1);
  }
}

/** The token buckets of one edge. A new edge starts with nothing. */
export class QuotaShare {
  readonly #limits: EdgeLimits;
  readonly #edgeCount: EdgeCount;
  readonly #extraAttemptBuckets = new Map<ServiceName, TokenBucket>();
  readonly #serviceBuckets = new Map<ServiceName, TokenBucket>();
  /** Until when a service counts as one whose share ran out here. */
  readonly #scarceUntil = new Map<ServiceName, Timestamp>();

  constructor(limits: EdgeLimits, edgeCount: EdgeCount) {
    this.#limits = limits;
    this.#edgeCount = edgeCount;
  }

  /** A client's request came for a service: it earns a part of an extra attempt (retry or hedge). */
  recordRequest(service: ServiceName, now: Timestamp): void {
    const rate = this.#extraAttemptRate();
    const bucket = refill(this.#extraAttemptBucket(service, now), rate, now);
    const earned = extraAttemptRatioUtilization * this.#limits.extraAttemptRatio;
    this.#extraAttemptBuckets.set(service, addTokens(bucket, rate, earned));
  }

  /** Takes an extra attempt (retry or hedge) from the budget; false if there is none. */
  takeExtraAttempt(service: ServiceName, now: Timestamp): boolean {
    const bucket = this.#extraAttemptBucket(service, now);
    const remaining = takeToken(bucket, this.#extraAttemptRate(), now);
    if (remaining === undefined) return false;
    this.#extraAttemptBuckets.set(service, remaining);
    return true;
  }

  /** Takes a request from the service's rate limit and gives 0; or gives the milliseconds until there is one. */
  takeOrWaitMs(service: Service, now: Timestamp): number {
    if (service.perSecond === undefined) return 0;
    const rate = this.#serviceRate(service.perSecond);
    const bucket = this.#serviceBuckets.get(service.name) ?? newTokenBucket(now);
    const remaining = takeToken(bucket, rate, now);
    this.#serviceBuckets.set(service.name, remaining ?? refill(bucket, rate, now));
    if (remaining !== undefined) return 0;
    this.#scarceUntil.set(service.name, addMs(now, scarcityDurationMs));
    return Math.max(1, nextTokenDelayMs(bucket, rate, now));
  }

  /**
   * Whether this edge's share of a service's rate is too small to fetch what its clients ask for: it ran out recently,
   * or would fill a cache too slowly.
   */
  isScarce(service: Service, now: Timestamp): boolean {
    if (service.perSecond === undefined) return false;
    if (this.#serviceRate(service.perSecond).tokensPerSecond < minCacheFillPerSecond) return true;
    return (this.#scarceUntil.get(service.name) ?? clockOrigin) > now;
  }

  /** How many connections this edge may have to one endpoint of a service. */
  maxConnectionsPerEndpoint({ connections }: Service): number {
    if (connections === undefined) return Infinity;
    return Math.max(1, Math.floor((connections * connectionUtilization) / this.#edgeCount.count));
  }

  #extraAttemptBucket(service: ServiceName, now: Timestamp): TokenBucket {
    return this.#extraAttemptBuckets.get(service) ?? newTokenBucket(now);
  }

  #extraAttemptRate(): RefillRate {
    const { extraAttemptSlack, extraAttemptWindowMs } = this.#limits;
    const share = (extraAttemptSlackUtilization * extraAttemptSlack) / this.#edgeCount.count;
    return {
      tokensPerSecond: (share * 1000) / extraAttemptWindowMs,
      capacity: Math.max(1, share),
    };
  }

  #serviceRate(perSecond: number): RefillRate {
    const { rateLimitWindowMs, rateLimitOverageFactor } = this.#limits;
    const edgeCount = this.#edgeCount.count;
    const windowSeconds = rateLimitWindowMs / 1000;
    const overage = (rateLimitOverageFactor - serviceRateUtilization) * perSecond * windowSeconds;
    return {
      tokensPerSecond: (serviceRateUtilization * perSecond) / edgeCount,
      capacity: Math.max(1, (overageUtilization * overage) / edgeCount),
    };
  }
}
