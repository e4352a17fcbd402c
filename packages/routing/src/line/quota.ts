import {
  type Timestamp,
  type ServiceName,
  subtractMs,
  addMs,
  clockOrigin,
} from '@switchwheel/types';
import type { Service } from '@switchwheel/configuration';
import { type Bucket, type Rate, earn, fill, newBucket, take, waitOf } from '../bucket/bucket.js';
import type { Bounds } from './port.js';

/** How long an edge that is no longer seen still counts: its quota may be in use. */
const memorySpan = 30_000;
/** How long a service counts as scarce after this edge's part of its rate ran out. */
const scarceSpan = 5000;
/** Fetches a second below which an edge can't fill a cache by itself. */
const leastFillingRate = 5;

/** How many edges share what a service may be sent: the most seen of late. */
export class Edges {
  #seen: readonly { readonly many: number; readonly at: Timestamp }[] = [];

  note(many: number, now: Timestamp): void {
    const last = this.#seen.at(-1);
    if (last?.many === many) this.#seen = [...this.#seen.slice(0, -1), { many, at: now }];
    else
      this.#seen = [
        ...this.#seen.filter((one) => one.at > subtractMs(now, memorySpan)),
        { many, at: now },
      ];
  }

  get many(): number {
    return this.#seen.reduce((most, one) => Math.max(most, one.many), 1);
  }
}

/**
 * This edge's part of what the whole fleet may send to a service: an equal part for each edge, so that the sum
 * keeps the rule whoever of them is cut off, restarts or sleeps. A new edge starts with nothing.
 */
export class Quota {
  readonly #bounds: Bounds;
  readonly #edges: Edges;
  readonly #extra = new Map<ServiceName, Bucket>();
  readonly #rate = new Map<ServiceName, Bucket>();
  /** Until when a service counts as one whose part ran out here. */
  readonly #scarceUntil = new Map<ServiceName, Timestamp>();

  constructor(bounds: Bounds, edges: Edges) {
    this.#bounds = bounds;
    this.#edges = edges;
  }

  /** A caller's request came for a service: it earns a part of an extra leg. */
  asked(service: ServiceName, now: Timestamp): void {
    const rate = this.#extraRate();
    this.#extra.set(
      service,
      earn(
        fill(this.#extra.get(service) ?? newBucket(now), rate, now),
        rate,
        0.75 * this.#bounds.extraShare,
      ),
    );
  }

  extra(service: ServiceName, now: Timestamp): boolean {
    const next = take(this.#extra.get(service) ?? newBucket(now), this.#extraRate(), now);
    if (next === undefined) return false;
    this.#extra.set(service, next);
    return true;
  }

  /** Milliseconds until a request may go to the service; 0 takes one now. */
  wait(service: Service, now: Timestamp): number {
    if (service.perSecond === undefined) return 0;
    const rate = this.#ceilingRate(service.perSecond);
    const bucket = this.#rate.get(service.name) ?? newBucket(now);
    const next = take(bucket, rate, now);
    this.#rate.set(service.name, next ?? fill(bucket, rate, now));
    if (next === undefined) this.#scarceUntil.set(service.name, addMs(now, scarceSpan));
    return next === undefined ? Math.max(1, waitOf(bucket, rate, now)) : 0;
  }

  /**
   * Whether this edge's part of a service's rate is too small to fetch what its callers ask for: it ran out
   * of late, or would fill a cache too slowly.
   */
  isScarce(service: Service, now: Timestamp): boolean {
    if (service.perSecond === undefined) return false;
    if (this.#ceilingRate(service.perSecond).perSecond < leastFillingRate) return true;
    return (this.#scarceUntil.get(service.name) ?? clockOrigin) > now;
  }

  /** How many connections this edge may have to one origin. */
  room(service: Service): number {
    return service.connections === undefined
      ? Infinity
      : Math.max(1, Math.floor((service.connections * 0.9) / this.#edges.many));
  }

  #extraRate(): Rate {
    const part = (0.4 * this.#bounds.extraSlack) / this.#edges.many;
    return { perSecond: (part * 1000) / this.#bounds.extraWindowMs, depth: Math.max(1, part) };
  }

  #ceilingRate(perSecond: number): Rate {
    const many = this.#edges.many;
    const seconds = this.#bounds.ceilingWindowMs / 1000;
    const over = (this.#bounds.ceilingOver - 0.97) * perSecond * seconds;
    return { perSecond: (0.97 * perSecond) / many, depth: Math.max(1, (0.8 * over) / many) };
  }
}
