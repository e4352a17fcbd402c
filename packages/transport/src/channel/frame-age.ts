/**
 * The age of frames as they arrive. Both sides' steady clocks start anywhere, so the receiver takes
 * the least difference that it saw for the way of a frame without delay; what is over that is age.
 */
import type { Frame } from '../frame/frame.js';

/** How old a frame may be when it is read: older ones are dropped, as their sender has gone on. */
export const frameLifetimeMs = 1500;
/** By how much two steady clocks may run apart, in milliseconds for each millisecond. */
const clockDrift = 0.001;

/** Keeps the least difference between the clocks of a channel's two sides. */
export class FrameAgeEstimator {
  #offset = Infinity;
  #offsetAt = 0;

  /** How long a frame was under way beyond the quickest one, both times in milliseconds. */
  measure(sentAt: number, receivedAt: number): number {
    const drifted = this.#offset + clockDrift * (receivedAt - this.#offsetAt);
    this.#offset = Math.min(drifted, receivedAt - sentAt);
    this.#offsetAt = receivedAt;
    return receivedAt - sentAt - this.#offset;
  }
}

/**
 * Whether a frame loses its worth with time. Pieces are named by their hash, and entries of a resync
 * are bulk under an epoch: over a slow link they are late and still right.
 */
export const expiresWithAge = (frame: Frame): boolean =>
  frame.kind !== 'piece' && frame.kind !== 'resync-entries';

const stampBytes = 8;

/** Puts the time of sending before a frame's bytes. */
export const prependSendTime = (body: Uint8Array, sentAt: number): Buffer => {
  const out = Buffer.allocUnsafe(stampBytes + body.length);
  out.writeDoubleBE(sentAt, 0);
  out.set(body, stampBytes);
  return out;
};

/** A frame's bytes with the time of their sending. */
export interface TimestampedFrame {
  readonly sentAt: number;
  readonly body: Uint8Array;
}

/** Takes a frame's bytes and the time of sending apart; undefined if there is no such time. */
export const splitSendTime = (bytes: Uint8Array): TimestampedFrame | undefined => {
  if (bytes.length < stampBytes) return undefined;
  const sentAt = Buffer.from(bytes.buffer, bytes.byteOffset, stampBytes).readDoubleBE(0);
  return Number.isFinite(sentAt) ? { sentAt, body: bytes.subarray(stampBytes) } : undefined;
};
