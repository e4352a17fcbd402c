/**
 * An edge's data channels to service leaders: opened on the first request, closed by the other end
 * or by a failure. Requests wait until their channel is open.
 */

import type { Address, RequestId } from '@switchwheel/types';
import type { ForwardedRequest, Frame, FrameOf } from '@switchwheel/transport';
import type { DataChannel, OpenDataChannel } from './ports.js';

interface LeaderChannel {
  channel: DataChannel | undefined;
  isOpen: boolean;
  readonly unsent: ForwardedRequest[];
}

/** What an edge does about what comes in on its data channels. */
export interface LeaderChannelHandlers {
  /** Says whether the frame is one that belongs there. */
  readonly onFrame: (from: Address, frame: Frame) => boolean;
  /** A channel closed; of the requests in `unsentIds` no byte was sent. */
  readonly onLost: (leader: Address, unsentIds: ReadonlySet<RequestId>) => void;
}

/** The data channels of an edge, by the address of the leader. */
export class LeaderChannels {
  readonly #openChannel: OpenDataChannel;
  readonly #handlers: LeaderChannelHandlers;
  readonly #channels = new Map<Address, LeaderChannel>();

  constructor(openChannel: OpenDataChannel, handlers: LeaderChannelHandlers) {
    this.#openChannel = openChannel;
    this.#handlers = handlers;
  }

  /** Sends a request, as soon as the channel to the leader is open. */
  sendRequest(to: Address, request: ForwardedRequest): void {
    const entry = this.#channels.get(to) ?? this.#open(to);
    if (entry.isOpen) entry.channel?.send(request);
    else entry.unsent.push(request);
  }

  /** Cancels a request or grants it more window; one that was not sent yet is only forgotten. */
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
          entry.channel?.terminate(`foreign: ${frame.kind} on a data channel`);
      },
      onClosed: () => {
        if (this.#channels.get(to) === entry) this.#channels.delete(to);
        this.#handlers.onLost(to, new Set(entry.unsent.map((request) => request.id)));
      },
    });
    return entry;
  }
}
