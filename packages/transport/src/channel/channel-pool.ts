import { createConnection, createServer, type Server, type Socket } from 'node:net';
import { EventEmitter } from 'eventemitter3';
import type { Address } from '@switchwheel/types';
import { type Frame, isObjectFrame } from '../frame/frame.js';
import { Channel, type ChannelKind } from './channel.js';
import type { Peer } from './process-event.js';

interface PoolEvents {
  frame: (from: Peer, frame: Frame, channel: Channel) => void;
  gone: (address: Address) => void;
  fault: (text: string) => void;
  data: (channel: Channel, who: Peer) => void;
}

/** Splits an address into what sockets take. */
export const splitAddress = (
  address: Address,
): { readonly host: string; readonly port: number } => {
  const cut = address.lastIndexOf(':');
  return {
    host: address.slice(0, cut).replace(/^\[|\]$/g, ''),
    port: Number(address.slice(cut + 1)),
  };
};

const maxBacklogBytes = 32 * 1024 * 1024;
const maxQueuedFrames = 256;
const dialTimeout = 1000;

/** Edges speak to each other of objects only. */
const laneOf = (frame: Frame): ChannelKind => (isObjectFrame(frame) ? 'objects' : 'control');

/** A frame that waits for its channel, and since when. */
interface WaitingFrame {
  readonly frame: Frame;
  readonly sentAt: number;
}

interface Connection {
  readonly channel: Channel;
  up: boolean;
  readonly waiting: WaitingFrame[];
}

/** All control channels of a process: sends frames by address, dials where none stands, loses what can't go. */
export class ChannelPool extends EventEmitter<PoolEvents> {
  readonly #me: Peer;
  readonly #out = new Map<Address, Connection>();
  readonly #in = new Map<Address, Channel>();
  readonly #all = new Set<Channel>();
  readonly #server: Server;
  /** Channels dropped for foreign or corrupt frames. */
  protocolErrorCount = 0;

  constructor(me: Peer) {
    super();
    this.#me = me;
    this.#server = createServer((socket) => this.#greet(socket));
    this.#server.on('error', (fault) => this.emit('fault', fault.message));
  }

  listen(): Promise<void> {
    return new Promise((done, fail) => {
      this.#server.once('error', fail);
      this.#server.listen({ ...splitAddress(this.#me.address) }, () => {
        this.#server.off('error', fail);
        done();
      });
    });
  }

  send(to: Address, frame: Frame): void {
    const line =
      this.#out.get(to) ?? (this.#in.has(to) ? undefined : this.#dial(to, laneOf(frame)));
    if (line === undefined) {
      const back = this.#in.get(to);
      if (back !== undefined && back.backlog < maxBacklogBytes) back.send(frame);
      return;
    }
    if (line.up) {
      if (line.channel.backlog < maxBacklogBytes) line.channel.send(frame);
    } else if (line.waiting.length < maxQueuedFrames)
      line.waiting.push({ frame, sentAt: performance.now() });
  }

  /** Opens a channel of the data lane. */
  openDataChannel(to: Address): Channel {
    const channel = new Channel(createConnection(splitAddress(to)), this.#me, 'data');
    this.#all.add(channel);
    channel.on('closed', () => this.#all.delete(channel));
    return channel;
  }

  close(): void {
    this.#server.close();
    for (const channel of this.#all) channel.terminate('stopping');
  }

  #dial(to: Address, lane: ChannelKind): Connection {
    const socket = createConnection(splitAddress(to));
    socket.setTimeout(dialTimeout, () => {
      if (!line.up) channel.terminate('no hello in time');
    });
    const channel = new Channel(socket, this.#me, lane);
    const line: Connection = { channel, up: false, waiting: [] };
    this.#out.set(to, line);
    this.#watch(channel);
    channel.on('up', () => {
      line.up = true;
      for (const one of line.waiting.splice(0)) channel.send(one.frame, one.sentAt);
    });
    channel.on('closed', () => {
      if (this.#out.get(to) === line) this.#out.delete(to);
      this.emit('gone', to);
    });
    return line;
  }

  #greet(socket: Socket): void {
    const channel = new Channel(socket, this.#me, 'control');
    const late = setTimeout(() => {
      if (channel.peer === undefined) channel.terminate('no hello in time');
    }, dialTimeout);
    this.#watch(channel);
    channel.on('closed', () => clearTimeout(late));
    channel.on('up', (who: Peer, lane: ChannelKind) => {
      if (lane === 'data') {
        channel.removeAllListeners('frame');
        this.emit('data', channel, who);
        return;
      }
      this.#in.set(who.address, channel);
      channel.on('closed', () => {
        if (this.#in.get(who.address) !== channel) return;
        this.#in.delete(who.address);
        this.emit('gone', who.address);
      });
    });
  }

  #watch(channel: Channel): void {
    this.#all.add(channel);
    channel.on('frame', (frame: Frame) => {
      if (channel.peer !== undefined) this.emit('frame', channel.peer, frame, channel);
    });
    channel.on('closed', (why: string) => {
      this.#all.delete(channel);
      if (why.startsWith('foreign')) {
        this.protocolErrorCount += 1;
        this.emit('fault', `channel with ${channel.peer?.node ?? 'a stranger'} dropped: ${why}`);
      }
    });
  }
}
