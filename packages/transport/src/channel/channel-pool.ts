/**
 * All channels of a process: accepts connections, connects on demand, and queues a bounded number of
 * frames until a connection is established. Delivery is not guaranteed: frames that can't be sent are
 * dropped, and a sender that needs a reply retries.
 */

import { createConnection, createServer, type Server, type Socket } from 'node:net';
import { EventEmitter } from 'eventemitter3';
import type { Address } from '@switchwheel/types';
import { type Frame, isObjectFrame } from '../frame/frame.js';
import { splitAddress } from './address.js';
import { Channel, protocolErrorPrefix } from './channel.js';
import type { ChannelKind } from './hello.js';
import type { Peer } from './process-event.js';

interface PoolEvents {
  frame: (from: Peer, frame: Frame, channel: Channel) => void;
  /**
   * The channel to an address was closed; the frames sent last may be lost. All of them are lost if the channel was never
   * established.
   */
  disconnected: (address: Address, wasEstablished: boolean) => void;
  /** Server error or protocol violation that operators should see in the log. */
  failure: (message: string) => void;
  /** A peer opened a data channel. */
  dataChannel: (channel: Channel, peer: Peer) => void;
}

/** Maximum number of frames that wait for a connection; further ones are dropped. */
const maxQueuedFrames = 256;
const helloTimeoutMs = 1000;

/** Channels between edges carry only object frames, and have their own keepalive interval. */
const channelKindFor = (frame: Frame): ChannelKind =>
  isObjectFrame(frame) ? 'objects' : 'control';

/** Frame that waits for its channel to be established; `sentAt` is a `performance.now()` reading. */
interface QueuedFrame {
  readonly frame: Frame;
  readonly sentAt: number;
}

/** Channel that this process opened. */
interface OutboundConnection {
  readonly channel: Channel;
  isUp: boolean;
  readonly queue: QueuedFrame[];
}

/** All inbound and outbound channels of a process, by the address of the peer. */
export class ChannelPool extends EventEmitter<PoolEvents> {
  readonly #self: Peer;
  readonly #outbound = new Map<Address, OutboundConnection>();
  readonly #inbound = new Map<Address, Channel>();
  readonly #channels = new Set<Channel>();
  readonly #server: Server;
  /** Number of channels closed because the peer violated the protocol. */
  protocolErrorCount = 0;

  constructor(self: Peer) {
    super();
    this.#self = self;
    this.#server = createServer((socket) => this.#accept(socket));
    this.#server.on('error', (error) => this.emit('failure', error.message));
  }

  /** Listens on this process's address; rejects if it can't be bound. */
  listen(): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen({ ...splitAddress(this.#self.address) }, () => {
        this.#server.off('error', reject);
        resolve();
      });
    });
  }

  /** Sends a frame on the existing channel to an address, or connects first. */
  send(to: Address, frame: Frame): void {
    const inbound = this.#inbound.get(to);
    const outbound =
      this.#outbound.get(to) ??
      (inbound === undefined ? this.#connect(to, channelKindFor(frame)) : undefined);
    if (outbound === undefined) {
      inbound?.sendUnlessBacklogged(frame);
      return;
    }
    if (outbound.isUp) outbound.channel.sendUnlessBacklogged(frame);
    else if (outbound.queue.length < maxQueuedFrames)
      outbound.queue.push({ frame, sentAt: performance.now() });
  }

  /** Opens a data channel; the caller handles its frames and its closing. */
  openDataChannel(to: Address): Channel {
    const channel = new Channel(createConnection(splitAddress(to)), this.#self, 'data');
    this.#channels.add(channel);
    channel.on('closed', () => this.#channels.delete(channel));
    return channel;
  }

  /** Stops listening and closes all channels. */
  close(): void {
    this.#server.close();
    for (const channel of this.#channels) channel.terminate('process is shutting down');
  }

  #connect(to: Address, channelKind: ChannelKind): OutboundConnection {
    const socket = createConnection(splitAddress(to));
    socket.setTimeout(helloTimeoutMs, () => {
      if (!connection.isUp) channel.terminate('handshake timeout: no hello received');
    });
    const channel = new Channel(socket, this.#self, channelKind);
    const connection: OutboundConnection = { channel, isUp: false, queue: [] };
    this.#outbound.set(to, connection);
    this.#track(channel);
    channel.on('up', () => {
      connection.isUp = true;
      for (const queued of connection.queue.splice(0)) channel.send(queued.frame, queued.sentAt);
    });
    channel.on('closed', () => {
      if (this.#outbound.get(to) === connection) this.#outbound.delete(to);
      this.emit('disconnected', to, connection.isUp);
    });
    return connection;
  }

  #accept(socket: Socket): void {
    const channel = new Channel(socket, this.#self, 'control');
    const helloTimer = setTimeout(() => {
      if (channel.peer === undefined) channel.terminate('handshake timeout: no hello received');
    }, helloTimeoutMs);
    this.#track(channel);
    channel.on('closed', () => clearTimeout(helloTimer));
    channel.on('up', (peer: Peer, channelKind: ChannelKind) => {
      if (channelKind === 'data') {
        channel.removeAllListeners('frame');
        this.emit('dataChannel', channel, peer);
        return;
      }
      this.#registerInbound(channel, peer);
    });
  }

  #registerInbound(channel: Channel, peer: Peer): void {
    this.#inbound.set(peer.address, channel);
    channel.on('closed', () => {
      if (this.#inbound.get(peer.address) !== channel) return;
      this.#inbound.delete(peer.address);
      this.emit('disconnected', peer.address, true);
    });
  }

  #track(channel: Channel): void {
    this.#channels.add(channel);
    channel.on('frame', (frame: Frame) => {
      if (channel.peer !== undefined) this.emit('frame', channel.peer, frame, channel);
    });
    channel.on('closed', (reason: string) => {
      this.#channels.delete(channel);
      if (!reason.startsWith(protocolErrorPrefix)) return;
      this.protocolErrorCount += 1;
      const peerName = channel.peer?.node ?? 'unknown (no hello received)';
      this.emit(
        'failure',
        `channel closed after a protocol violation by peer ${peerName}: ${reason}`,
      );
    });
  }
}
