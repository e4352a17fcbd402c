/**
 * Data channels of an edge to service leaders: opened on the first request, closed by the leader or
 * by a failure. Requests are queued until their channel is open.
 */

import type { Address, RequestId } from '@switchwheel/types';
import type { ForwardedRequest, Frame, FrameOf } from '@switchwheel/transport';
import type { DataChannel, OpenDataChannel } from './ports.js';

interface LeaderChannel {
  channel: DataChannel | undefined;
  isOpen: boolean;
  readonly unsent: ForwardedRequest[];
}

/** Handlers for the data channels of an edge. */
export interface LeaderChannelHandlers {
  /** Returns false if the frame is of a kind that doesn't belong on the channel. */
  readonly onFrame: (from: Address, frame: Frame) => boolean;
  /** Called when a channel closes; no byte was sent of the requests in `unsentIds`. */
  readonly onLost: (leader: Address, unsentIds: ReadonlySet<RequestId>) => void;
}

/** Data channels of an edge, by the address of the leader. */
export class LeaderChannels {
  readonly #openChannel: OpenDataChannel;
  readonly #handlers: LeaderChannelHandlers;
  readonly #channels = new Map<Address, LeaderChannel>();

  constructor(openChannel: OpenDataChannel, handlers: LeaderChannelHandlers) {
    this.#openChannel = openChannel;
    this.#handlers = handlers;
  }

  /** Sends a request once the channel to the leader is open. */
  sendRequest(to: Address, request: ForwardedRequest): void {
    const entry = this.#channels.get(to) ?? this.#open(to);
    if (entry.isOpen) entry.channel?.send(request);
    else entry.unsent.push(request);
  }

  /**
   * Sends a cancellation or flow-control credit. A request that is still queued is removed without
   * sending the frame.
   */
  sendControl(to: Address, frame: FrameOf<'quit'> | FrameOf<'credit'>): void {
    const entry = this.#channels.get(to);
    if (entry === undefined) return;
    const index = entry.unsent.findIndex((request) => request.id === frame.id);
    if (index >= 0) entry.unsent.splice(index, 1);
    else if (entry.isOpen) entry.channel?.send(frame);
  }

  #open(to: Address): LeaderChannel {
    const entry: LeaderChannel = { channel: undefined, isOpen: false, unsent: [] };
    this.#channels.set(to, entry);
    entry.channel = this.#openChannel(to, {
      onOpen: () => {
        entry.isOpen = true;
        for (const request of entry.unsent.splice(0)) entry.channel?.send(request);
      },
      onFrame: (frame) => {
        if (!this.#handlers.onFrame(to, frame))
          entry.channel?.terminate(`foreign: unexpected frame ${frame.kind} on a data channel`);
      },
      onClosed: () => {
        if (this.#channels.get(to) === entry) this.#channels.delete(to);
        this.#handlers.onLost(to, new Set(entry.unsent.map((request) => request.id)));
      },
    });
    return entry;
  }
}
