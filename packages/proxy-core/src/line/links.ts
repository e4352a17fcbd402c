import type { Address, RequestId } from '@switchwheel/types';
import type { Ask, Frame, FrameOf } from '@switchwheel/transport';
import type { DataChannel, Dial } from './port.js';

interface Link {
  channel: DataChannel | undefined;
  up: boolean;
  readonly waiting: Ask[];
}

/** What an edge hears on its data channels. */
export interface LinkEars {
  /** Says whether it is a frame that belongs there. */
  readonly frame: (from: Address, frame: Frame) => boolean;
  readonly lost: (keeper: Address, unsent: ReadonlySet<RequestId>) => void;
}

/** An edge's data channels to keepers. */
export class Links {
  readonly #dial: Dial;
  readonly #ears: LinkEars;
  readonly #links = new Map<Address, Link>();

  constructor(dial: Dial, ears: LinkEars) {
    this.#dial = dial;
    this.#ears = ears;
  }

  ask(to: Address, ask: Ask): void {
    const link = this.#links.get(to) ?? this.#open(to);
    if (link.up) link.channel?.send(ask);
    else link.waiting.push(ask);
  }

  tell(to: Address, frame: FrameOf<'quit'> | FrameOf<'credit'>): void {
    const link = this.#links.get(to);
    if (link === undefined) return;
    const at = link.waiting.findIndex((one) => one.id === frame.id);
    if (at >= 0) link.waiting.splice(at, 1);
    else if (link.up) link.channel?.send(frame);
  }

  #open(to: Address): Link {
    const link: Link = { channel: undefined, up: false, waiting: [] };
    this.#links.set(to, link);
    link.channel = this.#dial(to, {
      up: () => {
        link.up = true;
        for (const ask of link.waiting.splice(0)) link.channel?.send(ask);
      },
      frame: (frame) => {
        if (!this.#ears.frame(to, frame))
          link.channel?.terminate(`foreign: ${frame.kind} on a data channel`);
      },
      closed: () => {
        if (this.#links.get(to) === link) this.#links.delete(to);
        this.#ears.lost(to, new Set(link.waiting.map((one) => one.id)));
      },
    });
    return link;
  }
}
