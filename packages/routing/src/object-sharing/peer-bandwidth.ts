/**
 * How much of its link an edge gives to other edges: objects that it owns leave on the same link as the answers to its
 * own callers, and a sought-after large object would hold all of them up.
 */
import { type Timestamp, elapsedMs, clockOrigin } from '@switchwheel/types';

/** Which part of the link's rate other edges may take. */
const peerShareOfLink = 0.3;
/** For how long unused rate is saved up, in milliseconds. */
const burstMs = 400;
/** What an object is taken to weigh before any was sent. */
const initialObjectBytes = 16 * 1024;
const ewmaWeight = 0.2;

/** Bytes that may be sent to other edges; what is under way is reserved with its usual size. */
export class PeerBandwidth {
  readonly #bytesPerMs: number;
  #availableBytes: number;
  #refilledAt: Timestamp = clockOrigin;
  #objectBytesEwma = initialObjectBytes;

  /** The rate of the link in bytes a second; infinite if it is not known. */
  constructor(bytesPerSecond: number) {
    this.#bytesPerMs = (peerShareOfLink * bytesPerSecond) / 1000;
    this.#availableBytes = this.#capacityBytes;
  }

  /** Reserves room for one object; false if other edges have had their part for now. */
  reserve(now: Timestamp): boolean {
    if (!Number.isFinite(this.#bytesPerMs)) return true;
    this.#availableBytes = Math.min(
      this.#capacityBytes,
      this.#availableBytes + Math.max(0, elapsedMs(this.#refilledAt, now)) * this.#bytesPerMs,
    );
    this.#refilledAt = now;
    if (this.#availableBytes <= 0) return false;
    this.#availableBytes -= this.#objectBytesEwma;
    return true;
  }

  /** An object that was reserved for was sent, or nothing was. */
  settle(bytes: number): void {
    if (!Number.isFinite(this.#bytesPerMs)) return;
    this.#availableBytes += this.#objectBytesEwma - bytes;
    if (bytes > 0) this.#objectBytesEwma += (bytes - this.#objectBytesEwma) * ewmaWeight;
  }

  get #capacityBytes(): number {
    return this.#bytesPerMs * burstMs;
  }
}
