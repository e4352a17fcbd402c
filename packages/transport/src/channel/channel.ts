/**
 * One channel between two processes over a TCP connection: a hello each way, then frames and
 * keepalives, each with the time at which it was sent. The channel ends itself when the other side
 * stays silent, sends something that is no frame, or is only heard too late. Which channels a process
 * has is decided by `channel-pool`.
 */

import type { Socket } from 'node:net';
import { EventEmitter } from 'eventemitter3';
import { deserializeFrame, serializeFrame, type Frame } from '../frame/frame.js';
import {
  FrameAgeEstimator,
  expiresWithAge,
  frameLifetimeMs,
  prependSendTime,
  splitSendTime,
} from './frame-age.js';
import { FrameDecoder, encodeFrame } from './frame-decoder.js';
import { type ChannelKind, decodeHello, encodeHello } from './hello.js';
import type { Peer } from './process-event.js';

/** How often each side of a channel sends a keepalive, in milliseconds. */
export const keepaliveIntervalMs = 500;
/** For how long the other side may be silent before the channel is closed, in milliseconds. */
export const keepaliveTimeoutMs = 2000;
/**
 * The interval on channels between edges that share objects. It is longer because an edge goes on
 * without a peer that does not reply at once.
 */
export const objectKeepaliveIntervalMs = 4000;
const objectKeepaliveTimeoutMs = 3 * objectKeepaliveIntervalMs;

/** What a keepalive carries beside its send time. */
const emptyBody = new Uint8Array();

/** The reason of closing that begins with this was a violation of the protocol by the other side. */
export const protocolErrorPrefix = 'foreign';

interface ChannelEvents {
  /** The other side's hello was accepted. */
  up: (peer: Peer, channelKind: ChannelKind) => void;
  frame: (frame: Frame) => void;
  closed: (reason: string) => void;
}

/** See the module's comment. */
export class Channel extends EventEmitter<ChannelEvents> {
  readonly #socket: Socket;
  readonly #decoder = new FrameDecoder();
  readonly #frameAge = new FrameAgeEstimator();
  #peer: Peer | undefined;
  #closeReason = 'closed';
  #isClosed = false;
  #lastReceivedAt = performance.now();
  #lastCheckedAt = performance.now();
  /** Since when every frame that arrived was too old; undefined while they are not. */
  #lateSince: number | undefined;
  #kind: ChannelKind;
  #keepaliveTimer: NodeJS.Timeout | undefined;
  /** Frames that were dropped as too old. */
  expiredFrameCount = 0;

  /** Sends the hello of this process; `kind` is replaced by what the other side's hello names. */
  constructor(socket: Socket, self: Peer, kind: ChannelKind) {
    super();
    this.#socket = socket;
    this.#kind = kind;
    socket.setNoDelay(true);
    socket.write(encodeFrame(encodeHello(self, kind, performance.now())));
    socket.on('data', (bytes: Buffer) => this.#receive(bytes));
    this.#scheduleKeepalive();
    socket.on('error', (error) => {
      this.#closeReason = error.message;
    });
    socket.on('close', () => this.#onSocketClosed());
  }

  /** The process at the other end; undefined until its hello has arrived. */
  get peer(): Peer | undefined {
    return this.#peer;
  }

  /** How many bytes are waiting to be sent. */
  get backlogBytes(): number {
    return this.#socket.writableLength;
  }

  /** Sends a frame, stamped with `sentAt` (`performance.now()`); false if the channel is closed. */
  send(frame: Frame, sentAt = performance.now()): boolean {
    if (this.#isClosed || this.#socket.destroyed) return false;
    this.#socket.write(encodeFrame(prependSendTime(serializeFrame(frame), sentAt)));
    return true;
  }

  /** Closes the channel at once; `closed` is emitted with the reason. */
  terminate(reason: string): void {
    this.#closeReason = reason;
    this.#socket.destroy();
  }

  #terminateForProtocolError(text: string): void {
    this.terminate(`${protocolErrorPrefix}: ${text}`);
  }

  #onSocketClosed(): void {
    clearTimeout(this.#keepaliveTimer);
    if (this.#isClosed) return;
    this.#isClosed = true;
    this.emit('closed', this.#closeReason);
  }

  #scheduleKeepalive(): void {
    clearTimeout(this.#keepaliveTimer);
    this.#keepaliveTimer = setTimeout(() => {
      this.#checkKeepalive();
      if (!this.#isClosed) this.#scheduleKeepalive();
    }, this.#keepaliveIntervalMs);
    this.#keepaliveTimer.unref();
  }

  get #keepaliveIntervalMs(): number {
    return this.#kind === 'objects' ? objectKeepaliveIntervalMs : keepaliveIntervalMs;
  }

  get #keepaliveTimeoutMs(): number {
    return this.#kind === 'objects' ? objectKeepaliveTimeoutMs : keepaliveTimeoutMs;
  }

  /** Sends a keepalive; closes a channel whose other side is silent, as after a network partition. */
  #checkKeepalive(): void {
    const now = performance.now();
    // A process that was itself suspended has received nothing meanwhile: that silence is its own.
    if (now - this.#lastCheckedAt > 2 * this.#keepaliveIntervalMs) this.#lastReceivedAt = now;
    this.#lastCheckedAt = now;
    if (this.#socket.connecting) return;
    if (now - this.#lastReceivedAt > this.#keepaliveTimeoutMs) this.terminate('silent');
    else if (!this.#socket.destroyed && this.#peer !== undefined)
      this.#socket.write(encodeFrame(prependSendTime(emptyBody, now)));
  }

  #receive(bytes: Buffer): void {
    this.#lastReceivedAt = performance.now();
    const decoded = this.#decoder.feed(bytes);
    if (decoded.isErr) {
      this.#terminateForProtocolError(decoded.error.text);
      return;
    }
    for (const body of decoded.value) {
      if (this.#socket.destroyed) return;
      if (this.#peer === undefined) this.#receiveHello(body);
      else this.#receiveTimestamped(body);
    }
  }

  /** Receives a frame or a keepalive; drops a frame that is too old, if its kind expires. */
  #receiveTimestamped(bytes: Uint8Array): void {
    const timestamped = splitSendTime(bytes);
    if (timestamped === undefined) {
      this.#terminateForProtocolError('no time of sending');
      return;
    }
    const now = performance.now();
    const isLate = this.#frameAge.measure(timestamped.sentAt, now) > frameLifetimeMs;
    this.#trackLateness(isLate, now);
    if (timestamped.body.length === 0 || this.#socket.destroyed) return;
    const frame = deserializeFrame(timestamped.body);
    if (frame.isErr) {
      this.#terminateForProtocolError(frame.error.text);
      return;
    }
    if (isLate && this.#kind !== 'data' && expiresWithAge(frame.value)) this.expiredFrameCount += 1;
    else this.emit('frame', frame.value);
  }

  /** Closes a control channel on which all is late: a new one has no backlog, and measures the clocks anew. */
  #trackLateness(isLate: boolean, now: number): void {
    this.#lateSince = isLate ? (this.#lateSince ?? now) : undefined;
    if (this.#kind === 'control' && now - (this.#lateSince ?? now) > keepaliveTimeoutMs)
      this.terminate('late');
  }

  #receiveHello(body: Uint8Array): void {
    const hello = decodeHello(body);
    if (hello.isErr) {
      this.#terminateForProtocolError(hello.error.text);
      return;
    }
    const { node, address, incarnation, at, lane } = hello.value;
    if (at !== undefined) this.#frameAge.measure(at, performance.now());
    if (lane !== 'control') {
      this.#kind = lane;
      this.#scheduleKeepalive();
    }
    this.#peer = { node, address, incarnation };
    this.emit('up', this.#peer, lane);
  }
}
