/**
 * The age of frames as they arrive. The monotonic clocks of the two sides start anywhere, so the
 * receiver takes the smallest difference between them that it measured for a frame without delay; what
 * a frame exceeds it by is its age.
 */

import type { Frame } from '../frame/frame.js';

/** How old a frame may be when it is received, in milliseconds: the sender of an older one has moved on. */
export const frameLifetimeMs = 1500;
/** By how much two monotonic clocks may drift apart, in milliseconds for each millisecond. */
const maxClockDrift = 0.001;

/** Estimates the difference between the clocks of a channel's two sides. */
export class FrameAgeEstimator {
  #clockOffsetMs = Infinity;
  #measuredAt = 0;

  /** By how many milliseconds a frame took longer than the fastest one; both times in milliseconds. */
  measure(sentAt: number, receivedAt: number): number {
    const driftedOffsetMs = this.#clockOffsetMs + maxClockDrift * (receivedAt - this.#measuredAt);
    this.#clockOffsetMs = Math.min(driftedOffsetMs, receivedAt - sentAt);
    this.#measuredAt = receivedAt;
    return receivedAt - sentAt - this.#clockOffsetMs;
  }
}

/**
 * Whether a frame loses its value with time. Chunks are addressed by their hash, and entries of a
 * resync are bulk data under an epoch: over a slow link they are late and still right.
 */
export const expiresWithAge = (frame: Frame): boolean =>
  frame.kind !== 'piece' && frame.kind !== 'resync-entries';

const sendTimeBytes = 8;

/** Puts the time of sending, as a big-endian double, before a frame's bytes. */
export const prependSendTime = (body: Uint8Array, sentAt: number): Buffer => {
  const out = Buffer.allocUnsafe(sendTimeBytes + body.length);
  out.writeDoubleBE(sentAt, 0);
  out.set(body, sendTimeBytes);
  return out;
};

/** A frame's bytes with the time of their sending. */
export interface TimestampedFrame {
  readonly sentAt: number;
  readonly body: Uint8Array;
}

/** Separates a frame's bytes from the time of sending; undefined if there is no valid time. */
export const splitSendTime = (bytes: Uint8Array): TimestampedFrame | undefined => {
  if (bytes.length < sendTimeBytes) return undefined;
  const sentAt = Buffer.from(bytes.buffer, bytes.byteOffset, sendTimeBytes).readDoubleBE(0);
  return Number.isFinite(sentAt) ? { sentAt, body: bytes.subarray(sendTimeBytes) } : undefined;
};
