/** The data channel between an edge and a shield; the simulated form of a socket. */

import {
  type Frame,
  keepaliveIntervalMs,
  deserializeFrame,
  serializeFrame,
  keepaliveTimeoutMs,
} from '@switchwheel/transport';
import {
  type DataChannel,
  type DataChannelHandlers,
  connectTimeoutMs,
} from '@switchwheel/proxy-core';
import type { SimulatedProcess, SimulationContext } from '../world/process.js';

interface ChannelEnd {
  readonly process: SimulatedProcess;
  readonly incarnationNumber: number;
  readonly lane: { nextFreeAt: number };
  handlers: Omit<DataChannelHandlers, 'onOpen'> | undefined;
  lastHeardAt: number;
  isClosed: boolean;
}

const newChannelEnd = (actor: SimulatedProcess, now: number): ChannelEnd => ({
  process: actor,
  incarnationNumber: actor.incarnationNumber,
  lane: { nextFreeAt: 0 },
  handlers: undefined,
  lastHeardAt: now,
  isClosed: false,
});

/** A data channel between two processes: it keeps order, loses nothing while it stands, and ends when one side dies or is silent. */
export class SimulatedChannel {
  readonly #context: SimulationContext;
  readonly #localEnd: ChannelEnd;
  readonly #remoteEnd: ChannelEnd | undefined;
  #isEstablished = false;

  constructor(
    context: SimulationContext,
    from: SimulatedProcess,
    to: SimulatedProcess | undefined,
    ears: DataChannelHandlers,
    accept: (channel: DataChannel) => Omit<DataChannelHandlers, 'onOpen'>,
  ) {
    this.#context = context;
    this.#localEnd = newChannelEnd(from, context.eventQueue.now);
    this.#localEnd.handlers = ears;
    this.#remoteEnd = to === undefined ? undefined : newChannelEnd(to, context.eventQueue.now);
    const far = this.#remoteEnd;
    from.schedule(context.random.uniform(1, 6), () => {
      if (far === undefined || !this.#isProcessAlive(far)) {
        this.#close(this.#localEnd);
        return;
      }
      if (
        far.process.isFrozen ||
        !this.#isPathOpen(this.#localEnd, far) ||
        !this.#isPathOpen(far, this.#localEnd)
      ) {
        from.schedule(connectTimeoutMs, () => {
          if (!this.#isEstablished) this.#close(this.#localEnd);
        });
        return;
      }
      this.#isEstablished = true;
      far.handlers = accept(this.channel(far));
      for (const end of [this.#localEnd, far]) {
        end.lastHeardAt = context.eventQueue.now;
        this.#scheduleKeepalive(end);
      }
      ears.onOpen();
    });
  }

  channel(end: ChannelEnd = this.#localEnd): DataChannel {
    return { send: (frame) => this.#send(end, frame), terminate: () => this.#close(end) };
  }

  /** The other side's process is known to be gone. */
  remoteProcessEnded(): void {
    this.#close(this.#localEnd);
  }

  #otherEnd(end: ChannelEnd): ChannelEnd | undefined {
    return end === this.#localEnd ? this.#remoteEnd : this.#localEnd;
  }

  #isProcessAlive(end: ChannelEnd): boolean {
    return end.process.isAlive && end.process.incarnationNumber === end.incarnationNumber;
  }

  #isPathOpen(from: ChannelEnd, to: ChannelEnd): boolean {
    return this.#context.network.isOpen(from.process.node, to.process.node);
  }

  #send(end: ChannelEnd, frame: Frame): void {
    const to = this.#otherEnd(end);
    if (to === undefined || end.isClosed) return;
    const told = this.#context.random.happens(0.02)
      ? deserializeFrame(serializeFrame(frame)).unwrapOrElse((fault) => {
          throw new Error(`${frame.kind}: ${fault.text}`);
        })
      : frame;
    this.#context.network.sendOrdered(end.process.node, to.process.node, end.lane, () => {
      to.lastHeardAt = this.#context.eventQueue.now;
      if (!to.isClosed)
        to.process.execute(() => {
          if (!to.isClosed) to.handlers?.onFrame(told);
        }, to.incarnationNumber);
    });
  }

  #scheduleKeepalive(end: ChannelEnd): void {
    end.process.schedule(keepaliveIntervalMs, () => {
      const other = this.#otherEnd(end);
      if (end.isClosed || other === undefined) return;
      const now = this.#context.eventQueue.now;
      if (
        this.#isProcessAlive(other) &&
        !other.isClosed &&
        !other.process.isFrozen &&
        this.#isPathOpen(other, end)
      )
        end.lastHeardAt = now;
      if (now - end.lastHeardAt > keepaliveTimeoutMs) this.#close(end);
      else this.#scheduleKeepalive(end);
    });
  }

  #close(end: ChannelEnd): void {
    if (end.isClosed) return;
    end.isClosed = true;
    end.handlers?.onClosed();
    const other = this.#otherEnd(end);
    if (other === undefined) return;
    this.#context.network.sendOrdered(end.process.node, other.process.node, end.lane, () =>
      other.process.execute(() => this.#close(other), other.incarnationNumber),
    );
  }
}
