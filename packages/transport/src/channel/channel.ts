import type { Socket } from 'node:net';
import { EventEmitter } from 'eventemitter3';
import * as v from 'valibot';
import { Encoder } from 'cbor-x';
import * as g from '@switchwheel/types';
import { deserializeFrame, serializeFrame, type Frame } from '../frame/frame.js';
import {
  FrameAgeEstimator,
  expiresWithAge,
  frameLifetimeMs,
  splitSendTime,
  prependSendTime,
} from './frame-age.js';
import { FrameDecoder, encodeFrame } from './frame-decoder.js';
import type { Peer } from './process-event.js';

/** The generation of the frames; another one is refused plainly. */
export const protocolVersion = 3;
/** How often each side shows that it is there, and how long it may be silent before the channel is over. */
export const keepaliveIntervalMs = 500;
export const keepaliveTimeoutMs = 2000;
/** The same between edges that share objects: whoever is silent there is done without after a moment anyway. */
export const objectKeepaliveIntervalMs = 4000;
const objectsSilenceTimeout = 3 * objectKeepaliveIntervalMs;
const empty = new Uint8Array();
const hello = v.object({
  switchwheel: v.literal('hello'),
  protocol: v.number(),
  lane: v.picklist(['control', 'data', 'objects']),
  node: g.nodeId,
  address: g.address,
  incarnation: g.incarnation,
  /** The sender's steady clock; absent in the hello of an older protocol, which is refused by its number. */
  at: v.optional(v.number()),
});
type Hello = v.InferOutput<typeof hello>;
export type ChannelKind = Hello['lane'];
const coder = new Encoder({ useRecords: false, mapsAsObjects: true });

interface ChannelEvents {
  up: (who: Peer, lane: ChannelKind) => void;
  frame: (frame: Frame) => void;
  closed: (why: string) => void;
  drain: () => void;
}

/** One channel between two processes: a hello each way, then frames. */
export class Channel extends EventEmitter<ChannelEvents> {
  readonly #socket: Socket;
  readonly #cutter = new FrameDecoder();
  #who: Peer | undefined;
  #why = 'closed';
  #over = false;
  #heard = performance.now();
  #looked = performance.now();
  readonly #age = new FrameAgeEstimator();
  /** Since when every frame that came was too old; undefined while they are not. */
  #lateSince: number | undefined;
  #lane: ChannelKind;
  #timer: NodeJS.Timeout | undefined;
  /** Frames that were dropped as too old. */
  expiredFrameCount = 0;

  constructor(socket: Socket, me: Peer, lane: ChannelKind) {
    super();
    this.#socket = socket;
    socket.setNoDelay(true);
    this.#lane = lane;
    const greeting: Hello = {
      switchwheel: 'hello',
      protocol: protocolVersion,
      lane,
      at: performance.now(),
      ...me,
    };
    socket.write(encodeFrame(coder.encode(greeting)));
    socket.on('data', (bytes: Buffer) => this.#take(bytes));
    this.#scheduleLook();
    socket.on('drain', () => this.emit('drain'));
    socket.on('error', (fault) => {
      this.#why = fault.message;
    });
    socket.on('close', () => {
      clearTimeout(this.#timer);
      if (this.#over) return;
      this.#over = true;
      this.emit('closed', this.#why);
    });
  }

  get peer(): Peer | undefined {
    return this.#who;
  }

  /** Bytes that wait to leave. */
  get backlog(): number {
    return this.#socket.writableLength;
  }

  /** Hands a frame over, with the time at which it was sent; false when the channel is over. */
  send(frame: Frame, sentAt = performance.now()): boolean {
    if (this.#over || this.#socket.destroyed) return false;
    this.#socket.write(encodeFrame(prependSendTime(serializeFrame(frame), sentAt)));
    return true;
  }

  /** Stops taking bytes in, until let go on. */
  setReadingPaused(still: boolean): void {
    if (still) this.#socket.pause();
    else this.#socket.resume();
  }

  terminate(why: string): void {
    this.#why = why;
    this.#socket.destroy();
  }

  #scheduleLook(): void {
    clearTimeout(this.#timer);
    this.#timer = setTimeout(() => {
      this.#look();
      if (!this.#over) this.#scheduleLook();
    }, this.#keepalive);
    this.#timer.unref();
  }

  get #keepalive(): number {
    return this.#lane === 'objects' ? objectKeepaliveIntervalMs : keepaliveIntervalMs;
  }

  get #silence(): number {
    return this.#lane === 'objects' ? objectsSilenceTimeout : keepaliveTimeoutMs;
  }

  /** Shows that this side is there; ends a channel whose other side is silent, as after a cut that nobody told of. */
  #look(): void {
    const now = performance.now();
    // Whoever slept itself has not listened: that silence is its own.
    if (now - this.#looked > 2 * this.#keepalive) this.#heard = now;
    this.#looked = now;
    if (this.#socket.connecting) return;
    if (now - this.#heard > this.#silence) this.terminate('silent');
    else if (!this.#socket.destroyed && this.#who !== undefined)
      this.#socket.write(encodeFrame(prependSendTime(empty, now)));
  }

  #take(bytes: Buffer): void {
    this.#heard = performance.now();
    const cut = this.#cutter.feed(bytes);
    if (cut.isErr) {
      this.terminate(`foreign: ${cut.error.text}`);
      return;
    }
    for (const body of cut.value) {
      if (this.#socket.destroyed) return;
      if (this.#who === undefined) this.#meet(body);
      else this.#takeStamped(body);
    }
  }

  /** Takes a frame or a keepalive, if it is not too old. */
  #takeStamped(bytes: Uint8Array): void {
    const stamped = splitSendTime(bytes);
    if (stamped === undefined) {
      this.terminate('foreign: no time of sending');
      return;
    }
    const now = performance.now();
    const late = this.#age.measure(stamped.sentAt, now) > frameLifetimeMs;
    this.#noteLate(late, now);
    if (stamped.body.length === 0 || this.#socket.destroyed) return;
    const frame = deserializeFrame(stamped.body);
    if (frame.isErr) {
      this.terminate(`foreign: ${frame.error.text}`);
      return;
    }
    if (late && this.#lane !== 'data' && expiresWithAge(frame.value)) this.expiredFrameCount += 1;
    else this.emit('frame', frame.value);
  }

  /** A control channel on which all is late ends: a new one has no backlog, and learns the clocks anew. */
  #noteLate(late: boolean, now: number): void {
    this.#lateSince = late ? (this.#lateSince ?? now) : undefined;
    if (this.#lane === 'control' && now - (this.#lateSince ?? now) > keepaliveTimeoutMs)
      this.terminate('late');
  }

  #meet(body: Uint8Array): void {
    let raw: unknown;
    try {
      raw = coder.decode(body);
    } catch {
      this.terminate('foreign: no hello');
      return;
    }
    const read = v.safeParse(hello, raw);
    if (!read.success) {
      this.terminate('foreign: no hello');
      return;
    }
    if (read.output.protocol !== protocolVersion) {
      this.terminate(
        `foreign: protocol ${read.output.protocol}, this program speaks ${protocolVersion}`,
      );
      return;
    }
    const { node, address, incarnation, at } = read.output;
    if (at !== undefined) this.#age.measure(at, performance.now());
    if (read.output.lane !== 'control') {
      this.#lane = read.output.lane;
      this.#scheduleLook();
    }
    this.#who = { node, address, incarnation };
    this.emit('up', this.#who, read.output.lane);
  }
}
