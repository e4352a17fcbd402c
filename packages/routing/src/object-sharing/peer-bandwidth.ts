/**
 * Limits the bandwidth that an edge uses for other edges. Shared objects are sent over the same link as responses to
 * clients; without a limit, a popular large object would delay those responses.
 */

import { type RouteName, type Timestamp, clockOrigin, elapsedMs } from '@switchwheel/types';

/** Fraction of the link's bandwidth available to other edges. */
const peerShareOfLink = 0.3;
/** Fraction of the bandwidth available to other edges that is kept for small objects. */
const smallObjectShare = 0.5;
/** Utilization of the link above which a backlog is assumed to build up. */
const maxLinkUtilization = 0.6;
/** Backlog, as time on the link at that utilization, from which on the link counts as busy. */
const busyBacklogMs = 200;
/** Time on the link above which an object is large. */
const maxSmallTransferMs = 25;
/** Time over which unused bandwidth accumulates; sets the size of a burst. */
const burstMs = 400;
/** Assumed object size before the first object was sent. */
const initialObjectBytes = 16 * 1024;
const ewmaWeight = 0.2;
/** Maximum number of routes whose object size is remembered. */
const maxRoutes = 1024;

/** Token bucket of bytes. Each object in progress reserves the average object size. */
export class PeerBandwidth {
  readonly #bytesPerMs: number;
  #availableBytes: number;
  #refilledAt: Timestamp = clockOrigin;
  #objectBytesEwma = initialObjectBytes;

  /** An infinite `linkBytesPerSecond` (unknown bandwidth) disables the limit. */
  constructor(linkBytesPerSecond: number, share: number = peerShareOfLink) {
    this.#bytesPerMs = (share * linkBytesPerSecond) / 1000;
    this.#availableBytes = this.#capacityBytes;
  }

  /** Reserves bandwidth for one object; returns false if other edges' share is used up. */
  reserve(now: Timestamp): boolean {
    if (!Number.isFinite(this.#bytesPerMs)) return true;
    const refilledBytes = Math.max(0, elapsedMs(this.#refilledAt, now)) * this.#bytesPerMs;
    this.#availableBytes = Math.min(this.#capacityBytes, this.#availableBytes + refilledBytes);
    this.#refilledAt = now;
    if (this.#availableBytes <= 0) return false;
    this.#availableBytes -= this.#objectBytesEwma;
    return true;
  }

  /** Replaces a reservation by the size of the object that was sent; 0 if none was sent. */
  settle(bytes: number): void {
    if (!Number.isFinite(this.#bytesPerMs)) return;
    this.#availableBytes += this.#objectBytesEwma - bytes;
    if (bytes > 0) this.#objectBytesEwma += (bytes - this.#objectBytesEwma) * ewmaWeight;
  }

  get #capacityBytes(): number {
    return this.#bytesPerMs * burstMs;
  }
}

/** Estimates how busy an edge's link is, from the bytes that were sent to clients and to other edges. */
class LinkLoad {
  readonly #bytesPerMs: number;
  #backlogBytes = 0;
  #updatedAt: Timestamp = clockOrigin;

  constructor(linkBytesPerSecond: number) {
    this.#bytesPerMs = (maxLinkUtilization * linkBytesPerSecond) / 1000;
  }

  record(bytes: number, now: Timestamp): void {
    this.#drain(now);
    this.#backlogBytes += bytes;
  }

  isBusy(now: Timestamp): boolean {
    this.#drain(now);
    return this.#backlogBytes > busyBacklogMs * this.#bytesPerMs;
  }

  #drain(now: Timestamp): void {
    const drainedBytes = Math.max(0, elapsedMs(this.#updatedAt, now)) * this.#bytesPerMs;
    this.#backlogBytes = Math.max(0, this.#backlogBytes - drainedBytes);
    this.#updatedAt = now;
  }
}

/**
 * Bandwidth of an edge's link for other edges, in one part for small objects and one for large ones, so that a few large
 * objects don't keep small ones waiting. Routes are told apart by the typical size of their objects.
 */
export class PeerBandwidthBySize {
  readonly #linkBytesPerSecond: number;
  readonly #small: PeerBandwidth;
  readonly #large: PeerBandwidth;
  readonly #load: LinkLoad;
  readonly #typicalBytes = new Map<RouteName, number>();

  constructor(linkBytesPerSecond: number) {
    this.#load = new LinkLoad(linkBytesPerSecond);
    this.#linkBytesPerSecond = linkBytesPerSecond;
    this.#small = new PeerBandwidth(linkBytesPerSecond, peerShareOfLink * smallObjectShare);
    this.#large = new PeerBandwidth(linkBytesPerSecond, peerShareOfLink * (1 - smallObjectShare));
  }

  /** Records bytes that were sent on the link, to a client or to another edge. */
  recordSent(bytes: number, now: Timestamp): void {
    this.#load.record(bytes, now);
  }

  /** Reserves bandwidth for an object of a route; large objects also need a link that is not busy. */
  reserve(route: RouteName, now: Timestamp): boolean {
    if (this.hasLargeObjects(route) && this.#load.isBusy(now)) return false;
    return this.partFor(route).reserve(now);
  }

  /** Returns the part of the bandwidth that a route's objects use. */
  partFor(route: RouteName): PeerBandwidth {
    return this.hasLargeObjects(route) ? this.#large : this.#small;
  }

  /** Whether a route's objects typically take long to transfer over the link. */
  hasLargeObjects(route: RouteName): boolean {
    const transferMs = ((this.#typicalBytes.get(route) ?? 0) / this.#linkBytesPerSecond) * 1000;
    return transferMs > maxSmallTransferMs;
  }

  /** Records the size of a route's object. */
  recordObject(route: RouteName, bytes: number): void {
    const typicalBytes = this.#typicalBytes.get(route) ?? bytes;
    this.#typicalBytes.set(route, typicalBytes + (bytes - typicalBytes) * ewmaWeight);
    const [oldestRoute] = this.#typicalBytes.keys();
    if (this.#typicalBytes.size > maxRoutes && oldestRoute !== undefined)
      this.#typicalBytes.delete(oldestRoute);
  }
}
