/**
 * One edge's share of the fleet-wide limits of a service. Edges do not coordinate: each uses an equal share, so the sum
 * stays within the limits even if edges are partitioned, restart or stall.
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
  tokenDelayMs,
} from '../token-bucket/token-bucket.js';

/** Window over which the highest edge count applies: an edge that is no longer seen may still use its share. */
const edgeCountWindowMs = 30_000;
/** Time that a service stays marked as scarce after this edge used up its share of the rate limit. */
const scarcityDurationMs = 5000;
/** Lowest rate, in fetches per second, at which one edge can fill its cache alone. */
const minCacheFillPerSecond = 5;

/** Fractions of the extra-attempt limits that the edges use; the rest is a safety margin. */
const extraAttemptRatioUtilization = 0.75;
const extraAttemptSlackUtilization = 0.4;
/** Fractions of a service's rate limit, of its permitted overage and of its connections that the edges use. */
const serviceRateUtilization = 0.97;
const overageUtilization = 0.8;
const connectionUtilization = 0.9;

/** Fraction of a bucket's capacity from which on its tokens are about to be lost. */
const surplusFraction = 0.9;

/** Number of edges that share the limits: the highest count seen within the window. */
export class EdgeCount {
  #observations: readonly { readonly count: number; readonly at: Timestamp }[] = [];

  /** Records the number of edges that are currently visible. */
  record(count: number, now: Timestamp): void {
    const latest = { count, at: now };
    const previous = this.#observations.at(-1);
    const earlier =
      previous?.count === count
        ? this.#observations.slice(0, -1)
        : this.#observations.filter(({ at }) => at > subtractMs(now, edgeCountWindowMs));
    this.#observations = [...earlier, latest];
  }

  /** Number of edges, at least 1. */
  get count(): number {
    return this.#observations.reduce((highest, { count }) => Math.max(highest, count), 1);
  }
}

/** Token buckets of one edge. They are empty at start. */
export class QuotaShare {
  readonly #limits: EdgeLimits;
  readonly #edgeCount: EdgeCount;
  readonly #extraAttemptBuckets = new Map<ServiceName, TokenBucket>();
  readonly #serviceBuckets = new Map<ServiceName, TokenBucket>();
  /** Times until which services are marked as scarce. */
  readonly #scarceUntil = new Map<ServiceName, Timestamp>();

  constructor(limits: EdgeLimits, edgeCount: EdgeCount) {
    this.#limits = limits;
    this.#edgeCount = edgeCount;
  }

  /** Records a client's request, which adds a fraction of a token to the extra-attempt budget (retries and hedges). */
  recordRequest(service: ServiceName, now: Timestamp): void {
    const rate = this.#extraAttemptRate();
    const bucket = refill(this.#extraAttemptBucket(service, now), rate, now);
    const earned = extraAttemptRatioUtilization * this.#limits.extraAttemptRatio;
    this.#extraAttemptBuckets.set(service, addTokens(bucket, rate, earned));
  }

  /** Whether the budget permits an extra attempt (retry or hedge). */
  hasExtraAttempt(service: ServiceName, now: Timestamp): boolean {
    const bucket = this.#extraAttemptBucket(service, now);
    return takeToken(bucket, this.#extraAttemptRate(), now) !== undefined;
  }

  /** Takes one extra attempt (retry or hedge) from the budget; returns false if the budget is used up. */
  takeExtraAttempt(service: ServiceName, now: Timestamp): boolean {
    const bucket = this.#extraAttemptBucket(service, now);
    const remaining = takeToken(bucket, this.#extraAttemptRate(), now);
    if (remaining === undefined) return false;
    this.#extraAttemptBuckets.set(service, remaining);
    return true;
  }

  /** Takes one request from the service's rate limit; returns false if the share is used up. */
  take(service: Service, now: Timestamp): boolean {
    if (service.perSecond === undefined) return true;
    const rate = this.#serviceRate(service.perSecond);
    const bucket = this.#serviceBuckets.get(service.name) ?? newTokenBucket(now);
    const remaining = takeToken(bucket, rate, now);
    this.#serviceBuckets.set(service.name, remaining ?? refill(bucket, rate, now));
    if (remaining === undefined)
      this.#scarceUntil.set(service.name, addMs(now, scarcityDurationMs));
    return remaining !== undefined;
  }

  /** Whether the share of the service's rate limit fills up faster than it is used. */
  hasSurplus(service: Service, now: Timestamp): boolean {
    if (service.perSecond === undefined) return true;
    const rate = this.#serviceRate(service.perSecond);
    const bucket = this.#serviceBuckets.get(service.name) ?? newTokenBucket(now);
    const refilled = refill(bucket, rate, now);
    this.#serviceBuckets.set(service.name, refilled);
    return refilled.tokens >= Math.max(1, surplusFraction * rate.capacity);
  }

  /** Returns the milliseconds until the service's rate limit permits `count` requests. */
  waitMs(service: Service, count: number, now: Timestamp): number {
    if (service.perSecond === undefined) return 0;
    const bucket = this.#serviceBuckets.get(service.name) ?? newTokenBucket(now);
    return tokenDelayMs(bucket, this.#serviceRate(service.perSecond), count, now);
  }

  /**
   * Whether this edge's share of a service's rate limit is too small to serve its clients alone: it was used up
   * recently, or would fill the cache too slowly.
   */
  isScarce(service: Service, now: Timestamp): boolean {
    if (service.perSecond === undefined) return false;
    if (this.#serviceRate(service.perSecond).tokensPerSecond < minCacheFillPerSecond) return true;
    return (this.#scarceUntil.get(service.name) ?? clockOrigin) > now;
  }

  /** Maximum number of connections from this edge to one endpoint of a service. */
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
