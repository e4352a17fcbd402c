/**
 * Channel between two processes over a TCP connection. Each side sends a hello, then frames and keepalives
 * with their send time. A channel closes itself if nothing arrives within the keepalive timeout, if the
 * peer violates the protocol, or if frames keep arriving too late. `channel-pool` manages the channels of
 * a process.
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

/** Interval at which each side of a channel sends keepalives. */
export const keepaliveIntervalMs = 500;
/** Time without any frame or keepalive after which a channel is closed. */
export const keepaliveTimeoutMs = 2000;
/**
 * Keepalive interval on channels between edges that share cached objects. It is longer because an edge does not
 * depend on such a peer: without a quick reply it fetches the object itself.
 */
export const objectKeepaliveIntervalMs = 4000;
const objectKeepaliveTimeoutMs = 3 * objectKeepaliveIntervalMs;

/** Maximum backlog of a channel; {@link Channel.sendUnlessBacklogged} drops frames while it is reached. */
const maxBacklogBytes = 32 * 1024 * 1024;

/** Body of a keepalive, which consists of its send time only. */
const emptyBody = new Uint8Array();

/** Prefix of the close reasons that are protocol violations by the peer. */
export const protocolErrorPrefix = 'foreign';

interface ChannelEvents {
  /** The peer's hello was accepted. */
  up: (peer: Peer, channelKind: ChannelKind) => void;
  frame: (frame: Frame) => void;
  closed: (reason: string) => void;
}

/** Channel over one TCP socket; emits the received frames and, once, the reason for its closing. */
export class Channel extends EventEmitter<ChannelEvents> {
  readonly #socket: Socket;
  readonly #decoder = new FrameDecoder();
  readonly #frameAge = new FrameAgeEstimator();
  #peer: Peer | undefined;
  #closeReason = 'closed';
  #isClosed = false;
  #lastReceivedAt = performance.now();
  #lastCheckedAt = performance.now();
  /** Time since which all frames arrived too late; undefined if the last one was on time. */
  #lateSince: number | undefined;
  #kind: ChannelKind;
  #keepaliveTimer: NodeJS.Timeout | undefined;
  /** Number of received frames that were dropped because they were too old. */
  expiredFrameCount = 0;

  /** Sends the hello of this process. `kind` applies until the peer's hello specifies another one. */
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

  /** Process at the other end; undefined until its hello has been accepted. */
  get peer(): Peer | undefined {
    return this.#peer;
  }

  /** Number of bytes that wait to be sent. */
  get backlogBytes(): number {
    return this.#socket.writableLength;
  }

  /** Sends a frame with its send time (`performance.now()`); returns false if the channel is closed. */
  send(frame: Frame, sentAt = performance.now()): boolean {
    if (this.#isClosed || this.#socket.destroyed) return false;
    this.#socket.write(encodeFrame(prependSendTime(serializeFrame(frame), sentAt)));
    return true;
  }

  /** Sends a frame, or drops it while the backlog is full; returns false if it was dropped or the channel is closed. */
  sendUnlessBacklogged(frame: Frame): boolean {
    return this.backlogBytes < maxBacklogBytes && this.send(frame);
  }

  /** Closes the channel immediately; `closed` is emitted with the reason. */
  terminate(reason: string): void {
    this.#closeReason = reason;
    this.#socket.destroy();
  }

  #terminateForProtocolError(detail: string): void {
    this.terminate(`${protocolErrorPrefix}: ${detail}`);
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

  /** Sends a keepalive, or closes the channel if nothing has arrived, e.g. because of a network partition. */
  #checkKeepalive(): void {
    const now = performance.now();
    // The check itself is late: this process was suspended, so the silence says nothing about the peer.
    if (now - this.#lastCheckedAt > 2 * this.#keepaliveIntervalMs) this.#lastReceivedAt = now;
    this.#lastCheckedAt = now;
    if (this.#socket.connecting) return;
    if (now - this.#lastReceivedAt > this.#keepaliveTimeoutMs)
      this.terminate('keepalive timeout: nothing received from the peer');
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

  /** Handles a frame or a keepalive; drops a frame that is too old if its kind expires. */
  #receiveTimestamped(bytes: Uint8Array): void {
    const timestamped = splitSendTime(bytes);
    if (timestamped === undefined) {
      this.#terminateForProtocolError('frame without a valid send time');
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

  /** Closes a control channel whose frames keep arriving late: a new one has no backlog and a fresh clock offset. */
  #trackLateness(isLate: boolean, now: number): void {
    this.#lateSince = isLate ? (this.#lateSince ?? now) : undefined;
    if (this.#kind === 'control' && now - (this.#lateSince ?? now) > keepaliveTimeoutMs)
      this.terminate('all frames arrived too late for longer than the keepalive timeout');
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
