/**
 * How much of its link an edge gives to other edges. Objects that it owns leave on the same link as the responses to its
 * own clients, and a large object in demand would hold all of them up.
 */

import { type Timestamp, clockOrigin, elapsedMs } from '@switchwheel/types';

/** Which part of the link's rate other edges may take. */
const peerShareOfLink = 0.3;
/** For how long unused rate is saved up. */
const burstMs = 400;
/** The size that an object is assumed to have before any was sent. */
const initialObjectBytes = 16 * 1024;
const ewmaWeight = 0.2;

/** A token bucket of bytes; an object in progress is reserved with the average size. */
export class PeerBandwidth {
  readonly #bytesPerMs: number;
  #availableBytes: number;
  #refilledAt: Timestamp = clockOrigin;
  #objectBytesEwma = initialObjectBytes;

  /** The rate of the link in bytes a second; infinite if it is not known, and nothing is limited then. */
  constructor(linkBytesPerSecond: number) {
    this.#bytesPerMs = (peerShareOfLink * linkBytesPerSecond) / 1000;
    this.#availableBytes = this.#capacityBytes;
  }

  /** Reserves bandwidth for one object; false if other edges have had their share for now. */
  reserve(now: Timestamp): boolean {
    if (!Number.isFinite(this.#bytesPerMs)) return true;
    const refilledBytes = Math.max(0, elapsedMs(this.#refilledAt, now)) * this.#bytesPerMs;
    this.#availableBytes = Math.min(this.#capacityBytes, this.#availableBytes + refilledBytes);
    this.#refilledAt = now;
    if (this.#availableBytes <= 0) return false;
    this.#availableBytes -= this.#objectBytesEwma;
    return true;
  }

  /** Settles a reservation: with the bytes of the object that was sent, or 0 if none was. */
  settle(bytes: number): void {
    if (!Number.isFinite(this.#bytesPerMs)) return;
    this.#availableBytes += this.#objectBytesEwma - bytes;
    if (bytes > 0) this.#objectBytesEwma += (bytes - this.#objectBytesEwma) * ewmaWeight;
  }

  get #capacityBytes(): number {
    return this.#bytesPerMs * burstMs;
  }
}
