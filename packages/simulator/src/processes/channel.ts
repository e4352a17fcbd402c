/** The data channel between an edge and a shield; replaces a socket in the simulation. */

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
  readonly sendQueue: { nextFreeAt: number };
  handlers: Omit<DataChannelHandlers, 'onOpen'> | undefined;
  lastReceivedAt: number;
  isClosed: boolean;
}

const newChannelEnd = (process: SimulatedProcess, now: number): ChannelEnd => ({
  process,
  incarnationNumber: process.incarnationNumber,
  sendQueue: { nextFreeAt: 0 },
  handlers: undefined,
  lastReceivedAt: now,
  isClosed: false,
});

/** A reliable ordered channel between two processes; closes when one side dies or misses keepalives. */
export class SimulatedChannel {
  readonly #context: SimulationContext;
  readonly #localEnd: ChannelEnd;
  readonly #remoteEnd: ChannelEnd | undefined;
  #isEstablished = false;

  constructor(
    context: SimulationContext,
    from: SimulatedProcess,
    to: SimulatedProcess | undefined,
    handlers: DataChannelHandlers,
    accept: (channel: DataChannel) => Omit<DataChannelHandlers, 'onOpen'>,
  ) {
    this.#context = context;
    this.#localEnd = newChannelEnd(from, context.eventQueue.now);
    this.#localEnd.handlers = handlers;
    this.#remoteEnd = to === undefined ? undefined : newChannelEnd(to, context.eventQueue.now);
    const remoteEnd = this.#remoteEnd;
    from.schedule(context.random.uniform(1, 6), () => {
      if (remoteEnd === undefined || !this.#isProcessAlive(remoteEnd)) {
        this.#close(this.#localEnd);
        return;
      }
      if (
        remoteEnd.process.isFrozen ||
        !this.#isPathOpen(this.#localEnd, remoteEnd) ||
        !this.#isPathOpen(remoteEnd, this.#localEnd)
      ) {
        from.schedule(connectTimeoutMs, () => {
          if (!this.#isEstablished) this.#close(this.#localEnd);
        });
        return;
      }
      this.#isEstablished = true;
      remoteEnd.handlers = accept(this.channel(remoteEnd));
      for (const end of [this.#localEnd, remoteEnd]) {
        end.lastReceivedAt = context.eventQueue.now;
        this.#scheduleKeepalive(end);
      }
      handlers.onOpen();
    });
  }

  channel(end: ChannelEnd = this.#localEnd): DataChannel {
    return { send: (frame) => this.#send(end, frame), terminate: () => this.#close(end) };
  }

  /** Closes the local end after the remote process has ended. */
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
    const receivedFrame = this.#context.random.happens(0.02)
      ? deserializeFrame(serializeFrame(frame)).unwrapOrElse((parseError) => {
          throw new Error(`${frame.kind}: ${parseError.text}`);
        })
      : frame;
    this.#context.network.sendOrdered(end.process.node, to.process.node, end.sendQueue, () => {
      to.lastReceivedAt = this.#context.eventQueue.now;
      if (!to.isClosed)
        to.process.execute(() => {
          if (!to.isClosed) to.handlers?.onFrame(receivedFrame);
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
        end.lastReceivedAt = now;
      if (now - end.lastReceivedAt > keepaliveTimeoutMs) this.#close(end);
      else this.#scheduleKeepalive(end);
    });
  }

  #close(end: ChannelEnd): void {
    if (end.isClosed) return;
    end.isClosed = true;
    end.handlers?.onClosed();
    const other = this.#otherEnd(end);
    if (other === undefined) return;
    this.#context.network.sendOrdered(end.process.node, other.process.node, end.sendQueue, () =>
      other.process.execute(() => this.#close(other), other.incarnationNumber),
    );
  }
}
