import type { Address, RequestId } from '@switchwheel/types';
import type { ForwardedRequest, Frame, FrameOf } from '@switchwheel/transport';
import type { DataChannel, OpenDataChannel } from './ports.js';

interface LeaderChannel {
  channel: DataChannel | undefined;
  isOpen: boolean;
  readonly unsent: ForwardedRequest[];
}

/** What an edge hears on its data channels. */
export interface LeaderChannelHandlers {
  /** Says whether it is a frame that belongs there. */
  readonly frame: (from: Address, frame: Frame) => boolean;
  readonly lost: (keeper: Address, unsent: ReadonlySet<RequestId>) => void;
}

/** An edge's data channels to keepers. */
export class LeaderChannels {
  readonly #openChannel: OpenDataChannel;
  readonly #handlers: LeaderChannelHandlers;
  readonly #channels = new Map<Address, LeaderChannel>();

  constructor(dial: OpenDataChannel, ears: LeaderChannelHandlers) {
    this.#openChannel = dial;
    this.#handlers = ears;
  }

  sendRequest(to: Address, ask: ForwardedRequest): void {
    const link = this.#channels.get(to) ?? this.#open(to);
    if (link.isOpen) link.channel?.send(ask);
    else link.unsent.push(ask);
  }

  sendControl(to: Address, frame: FrameOf<'quit'> | FrameOf<'credit'>): void {
    const link = this.#channels.get(to);
    if (link === undefined) return;
    const at = link.unsent.findIndex((one) => one.id === frame.id);
    if (at >= 0) link.unsent.splice(at, 1);
    else if (link.isOpen) link.channel?.send(frame);
  }

  #open(to: Address): LeaderChannel {
    const link: LeaderChannel = { channel: undefined, isOpen: false, unsent: [] };
    this.#channels.set(to, link);
    link.channel = this.#openChannel(to, {
      up: () => {
        link.isOpen = true;
        for (const ask of link.unsent.splice(0)) link.channel?.send(ask);
      },
      frame: (frame) => {
        if (!this.#handlers.frame(to, frame))
          link.channel?.terminate(`foreign: ${frame.kind} on a data channel`);
      },
      closed: () => {
        if (this.#channels.get(to) === link) this.#channels.delete(to);
        this.#handlers.lost(to, new Set(link.unsent.map((one) => one.id)));
      },
    });
    return link;
  }
}
