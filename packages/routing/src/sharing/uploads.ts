/**
 * How much of its link an edge gives to other edges: objects that it owns leave on the same link as the answers to its
 * own callers, and a sought-after large object would hold all of them up.
 */
import { type Timestamp, elapsedMs, clockOrigin } from '@switchwheel/types';

/** Which part of the link's rate other edges may take. */
const peerPart = 0.3;
/** For how long unused rate is saved up, in milliseconds. */
const burstMs = 400;
/** What an object is taken to weigh before any was sent. */
const firstGuess = 16 * 1024;
const weightOfNew = 0.2;

/** Bytes that may be sent to other edges; what is under way is reserved with its usual size. */
export class Uploads {
  readonly #bytesPerMs: number;
  #level: number;
  #at: Timestamp = clockOrigin;
  #usualBytes = firstGuess;

  /** The rate of the link in bytes a second; infinite if it is not known. */
  constructor(bytesPerSecond: number) {
    this.#bytesPerMs = (peerPart * bytesPerSecond) / 1000;
    this.#level = this.#most;
  }

  /** Reserves room for one object; false if other edges have had their part for now. */
  reserve(now: Timestamp): boolean {
    if (!Number.isFinite(this.#bytesPerMs)) return true;
    this.#level = Math.min(
      this.#most,
      this.#level + Math.max(0, elapsedMs(this.#at, now)) * this.#bytesPerMs,
    );
    this.#at = now;
    if (this.#level <= 0) return false;
    this.#level -= this.#usualBytes;
    return true;
  }

  /** An object that was reserved for was sent, or nothing was. */
  settle(bytes: number): void {
    if (!Number.isFinite(this.#bytesPerMs)) return;
    this.#level += this.#usualBytes - bytes;
    if (bytes > 0) this.#usualBytes += (bytes - this.#usualBytes) * weightOfNew;
  }

  get #most(): number {
    return this.#bytesPerMs * burstMs;
  }
}
