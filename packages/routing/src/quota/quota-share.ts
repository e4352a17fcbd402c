import {
  type Timestamp,
  type ServiceName,
  subtractMs,
  addMs,
  clockOrigin,
} from '@switchwheel/types';
import type { Service } from '@switchwheel/configuration';
import {
  type TokenBucket,
  type RefillRate,
  addTokens,
  refill,
  newTokenBucket,
  takeToken,
  waitForTokenMs,
} from '../token-bucket/token-bucket.js';
import type { EdgeLimits } from '../router/ports.js';

/** How long an edge that is no longer seen still counts: its quota may be in use. */
const edgeMemoryMs = 30_000;
/** How long a service counts as scarce after this edge's part of its rate ran out. */
const scarcityMs = 5000;
/** Fetches a second below which an edge can't fill a cache by itself. */
const minCacheFillRate = 5;

/** How many edges share what a service may be sent: the most seen of late. */
export class EdgeCount {
  #observations: readonly { readonly many: number; readonly at: Timestamp }[] = [];

  record(many: number, now: Timestamp): void {
    const last = this.#observations.at(-1);
    if (last?.many === many)
      this.#observations = [...this.#observations.slice(0, -1), { many, at: now }];
    else
      this.#observations = [
        ...this.#observations.filter((one) => one.at > subtractMs(now, edgeMemoryMs)),
        { many, at: now },
      ];
  }

  get count(): number {
    return this.#observations.reduce((most, one) => Math.max(most, one.many), 1);
  }
}

/**
 * This edge's part of what the whole fleet may send to a service: an equal part for each edge, so that the sum
 * keeps the rule whoever of them is cut off, restarts or sleeps. A new edge starts with nothing.
 */
export class QuotaShare {
  readonly #limits: EdgeLimits;
  readonly #edgeCount: EdgeCount;
  readonly #extraAttemptBuckets = new Map<ServiceName, TokenBucket>();
  readonly #serviceBuckets = new Map<ServiceName, TokenBucket>();
  /** Until when a service counts as one whose part ran out here. */
  readonly #scarceUntil = new Map<ServiceName, Timestamp>();

  constructor(bounds: EdgeLimits, edges: EdgeCount) {
    this.#limits = bounds;
    this.#edgeCount = edges;
  }

  /** A caller's request came for a service: it earns a part of an extra leg. */
  recordRequest(service: ServiceName, now: Timestamp): void {
    const rate = this.#extraAttemptRate();
    this.#extraAttemptBuckets.set(
      service,
      addTokens(
        refill(this.#extraAttemptBuckets.get(service) ?? newTokenBucket(now), rate, now),
        rate,
        0.75 * this.#limits.extraAttemptRatio,
      ),
    );
  }

  takeExtraAttempt(service: ServiceName, now: Timestamp): boolean {
    const next = takeToken(
      this.#extraAttemptBuckets.get(service) ?? newTokenBucket(now),
      this.#extraAttemptRate(),
      now,
    );
    if (next === undefined) return false;
    this.#extraAttemptBuckets.set(service, next);
    return true;
  }

  /** Milliseconds until a request may go to the service; 0 takes one now. */
  takeOrWaitMs(service: Service, now: Timestamp): number {
    if (service.perSecond === undefined) return 0;
    const rate = this.#serviceRate(service.perSecond);
    const bucket = this.#serviceBuckets.get(service.name) ?? newTokenBucket(now);
    const next = takeToken(bucket, rate, now);
    this.#serviceBuckets.set(service.name, next ?? refill(bucket, rate, now));
    if (next === undefined) this.#scarceUntil.set(service.name, addMs(now, scarcityMs));
    return next === undefined ? Math.max(1, waitForTokenMs(bucket, rate, now)) : 0;
  }

  /**
   * Whether this edge's part of a service's rate is too small to fetch what its callers ask for: it ran out
   * of late, or would fill a cache too slowly.
   */
  isScarce(service: Service, now: Timestamp): boolean {
    if (service.perSecond === undefined) return false;
    if (this.#serviceRate(service.perSecond).tokensPerSecond < minCacheFillRate) return true;
    return (this.#scarceUntil.get(service.name) ?? clockOrigin) > now;
  }

  /** How many connections this edge may have to one origin. */
  maxConnectionsPerEndpoint(service: Service): number {
    return service.connections === undefined
      ? Infinity
      : Math.max(1, Math.floor((service.connections * 0.9) / this.#edgeCount.count));
  }

  #extraAttemptRate(): RefillRate {
    const part = (0.4 * this.#limits.extraAttemptSlack) / this.#edgeCount.count;
    return {
      tokensPerSecond: (part * 1000) / this.#limits.extraAttemptWindowMs,
      capacity: Math.max(1, part),
    };
  }

  #serviceRate(perSecond: number): RefillRate {
    const many = this.#edgeCount.count;
    const seconds = this.#limits.rateLimitWindowMs / 1000;
    const over = (this.#limits.rateLimitOverageFactor - 0.97) * perSecond * seconds;
    return {
      tokensPerSecond: (0.97 * perSecond) / many,
      capacity: Math.max(1, (0.8 * over) / many),
    };
  }
}
