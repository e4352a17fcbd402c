/**
 * Limits the bandwidth that an edge uses for other edges. Shared objects are sent over the same link as responses to
 * clients; without a limit, a popular large object would delay those responses.
 */

import { type Timestamp, clockOrigin, elapsedMs } from '@switchwheel/types';

/** Fraction of the link's bandwidth available to other edges. */
const peerShareOfLink = 0.3;
/** Time over which unused bandwidth accumulates; sets the size of a burst. */
const burstMs = 400;
/** Assumed object size before the first object was sent. */
const initialObjectBytes = 16 * 1024;
const ewmaWeight = 0.2;

/** Token bucket of bytes. Each object in progress reserves the average object size. */
export class PeerBandwidth {
  readonly #bytesPerMs: number;
  #availableBytes: number;
  #refilledAt: Timestamp = clockOrigin;
  #objectBytesEwma = initialObjectBytes;

  /** An infinite `linkBytesPerSecond` (unknown bandwidth) disables the limit. */
  constructor(linkBytesPerSecond: number) {
    this.#bytesPerMs = (peerShareOfLink * linkBytesPerSecond) / 1000;
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
