/**
 * All channels of a process: listens for others, connects where no channel exists, and queues a few
 * frames until a connection is up. Frames that can't be sent are dropped; whoever needs a reply repeats
 * the request.
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
  /** The channel with an address is closed; what was sent last may not have arrived. */
  disconnected: (address: Address) => void;
  /** Something went wrong that operators should see in the log. */
  failure: (message: string) => void;
  /** Another process opened a data channel. */
  dataChannel: (channel: Channel, peer: Peer) => void;
}

/** A channel that has so many bytes to send is given no more frames. */
const maxBacklogBytes = 32 * 1024 * 1024;
const maxQueuedFrames = 256;
const helloTimeoutMs = 1000;

/** Edges send each other nothing but objects. */
const channelKindFor = (frame: Frame): ChannelKind =>
  isObjectFrame(frame) ? 'objects' : 'control';

/** A frame that waits until its channel is up, and since when (`performance.now()`). */
interface QueuedFrame {
  readonly frame: Frame;
  readonly sentAt: number;
}

/** A channel that this process opened. */
interface OutboundConnection {
  readonly channel: Channel;
  isUp: boolean;
  readonly queue: QueuedFrame[];
}

const sendUnlessBackedUp = (channel: Channel, frame: Frame): void => {
  if (channel.backlogBytes < maxBacklogBytes) channel.send(frame);
};

/** See the module's comment. */
export class ChannelPool extends EventEmitter<PoolEvents> {
  readonly #self: Peer;
  readonly #outbound = new Map<Address, OutboundConnection>();
  readonly #inbound = new Map<Address, Channel>();
  readonly #channels = new Set<Channel>();
  readonly #server: Server;
  /** Channels that were closed because the other side violated the protocol. */
  protocolErrorCount = 0;

  constructor(self: Peer) {
    super();
    this.#self = self;
    this.#server = createServer((socket) => this.#accept(socket));
    this.#server.on('error', (error) => this.emit('failure', error.message));
  }

  /** Listens at this process's own address; rejects if the address can't be bound. */
  listen(): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen({ ...splitAddress(this.#self.address) }, () => {
        this.#server.off('error', reject);
        resolve();
      });
    });
  }

  /** Sends a frame on the existing channel with an address, or connects to it. */
  send(to: Address, frame: Frame): void {
    const inbound = this.#inbound.get(to);
    const outbound =
      this.#outbound.get(to) ??
      (inbound === undefined ? this.#connect(to, channelKindFor(frame)) : undefined);
    if (outbound === undefined) {
      if (inbound !== undefined) sendUnlessBackedUp(inbound, frame);
      return;
    }
    if (outbound.isUp) sendUnlessBackedUp(outbound.channel, frame);
    else if (outbound.queue.length < maxQueuedFrames)
      outbound.queue.push({ frame, sentAt: performance.now() });
  }

  /** Opens a data channel; its frames and its end are left to the caller. */
  openDataChannel(to: Address): Channel {
    const channel = new Channel(createConnection(splitAddress(to)), this.#self, 'data');
    this.#channels.add(channel);
    channel.on('closed', () => this.#channels.delete(channel));
    return channel;
  }

  /** Stops listening and closes all channels. */
  close(): void {
    this.#server.close();
    for (const channel of this.#channels) channel.terminate('stopping');
  }

  #connect(to: Address, channelKind: ChannelKind): OutboundConnection {
    const socket = createConnection(splitAddress(to));
    socket.setTimeout(helloTimeoutMs, () => {
      if (!connection.isUp) channel.terminate('no hello in time');
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
      this.emit('disconnected', to);
    });
    return connection;
  }

  #accept(socket: Socket): void {
    const channel = new Channel(socket, this.#self, 'control');
    const helloTimer = setTimeout(() => {
      if (channel.peer === undefined) channel.terminate('no hello in time');
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
      this.emit('disconnected', peer.address);
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
      const peerName = channel.peer?.node ?? 'an unknown peer';
      this.emit('failure', `channel closed by protocol error, peer ${peerName}: ${reason}`);
    });
  }
}
