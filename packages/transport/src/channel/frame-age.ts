/**
 * Age of received frames. The monotonic clocks of the two processes are not synchronized, so the receiver
 * takes the smallest difference between receive time and send time as the clock offset; the excess of a
 * frame over that offset is its age.
 */

import type { Frame } from '../frame/frame.js';

/** Maximum age of a received frame; the sender of an older one has timed out or sent a newer one. */
export const frameLifetimeMs = 1500;
/** Maximum drift between two monotonic clocks, in milliseconds per millisecond. */
const maxClockDrift = 0.001;

/** Estimates the offset between the clocks of the two sides of a channel. */
export class FrameAgeEstimator {
  #clockOffsetMs = Infinity;
  #measuredAt = 0;

  /** Returns by how many milliseconds a frame was slower than the fastest one; times are in milliseconds. */
  measure(sentAt: number, receivedAt: number): number {
    const driftedOffsetMs = this.#clockOffsetMs + maxClockDrift * (receivedAt - this.#measuredAt);
    this.#clockOffsetMs = Math.min(driftedOffsetMs, receivedAt - sentAt);
    this.#measuredAt = receivedAt;
    return receivedAt - sentAt - this.#clockOffsetMs;
  }
}

/**
 * Whether a frame becomes invalid with age. Chunks, which are addressed by hash, and resync entries, which
 * carry their epoch, do not: they are bulk data that may be slow on a slow link.
 */
export const expiresWithAge = (frame: Frame): boolean =>
  frame.kind !== 'piece' && frame.kind !== 'resync-entries';

const sendTimeBytes = 8;

/** Prepends the send time to a frame's bytes as a big-endian double. */
export const prependSendTime = (body: Uint8Array, sentAt: number): Buffer => {
  const out = Buffer.allocUnsafe(sendTimeBytes + body.length);
  out.writeDoubleBE(sentAt, 0);
  out.set(body, sendTimeBytes);
  return out;
};

/** Bytes of a frame, and its send time by the sender's clock in milliseconds. */
export interface TimestampedFrame {
  readonly sentAt: number;
  readonly body: Uint8Array;
}

/** Splits the send time from a frame's bytes; returns undefined if it is missing or not finite. */
export const splitSendTime = (bytes: Uint8Array): TimestampedFrame | undefined => {
  if (bytes.length < sendTimeBytes) return undefined;
  const sentAt = Buffer.from(bytes.buffer, bytes.byteOffset, sendTimeBytes).readDoubleBE(0);
  return Number.isFinite(sentAt) ? { sentAt, body: bytes.subarray(sendTimeBytes) } : undefined;
};
