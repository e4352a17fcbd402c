import { type Frame, deserializeFrame, serializeFrame } from '@switchwheel/transport';
import type { SimulatedProcess, Meter } from '../world/process.js';

/** The length and the checksum that a channel puts before each frame. */
const headBytes = 8;

interface Cost {
  readonly bytes: number;
  readonly decodeMs: number;
}

/** What one process sent, took in and reckoned. */
export interface Use {
  messagesOut: number;
  messagesIn: number;
  bytesOut: number;
  bytesIn: number;
  /** Processor time of the machine's steps, of writing frames down and of reading them. */
  stepMs: number;
  encodeMs: number;
  decodeMs: number;
}

export const newUse = (): Use => ({
  messagesOut: 0,
  messagesIn: 0,
  bytesOut: 0,
  bytesIn: 0,
  stepMs: 0,
  encodeMs: 0,
  decodeMs: 0,
});

/** Counts while it is open; each frame is encoded and decoded once, whoever else it goes to. */
export class Gauge implements Meter {
  readonly #uses = new Map<string, Use>();
  readonly #kinds = new Map<string, { messages: number; bytes: number }>();
  readonly #frames = new WeakMap<Frame, Cost>();
  open = false;

  reset(): void {
    this.#uses.clear();
    this.#kinds.clear();
  }

  of(node: string): Use {
    const known = this.#uses.get(node) ?? newUse();
    this.#uses.set(node, known);
    return known;
  }

  get kinds(): ReadonlyMap<string, { readonly messages: number; readonly bytes: number }> {
    return this.#kinds;
  }

  readonly sent = (from: SimulatedProcess, to: SimulatedProcess, frame: Frame): void => {
    if (!this.open) return;
    const sender = this.of(from.node);
    const taker = this.of(to.node);
    const cost = this.#frames.get(frame) ?? this.#weigh(frame, sender);
    sender.messagesOut += 1;
    sender.bytesOut += cost.bytes;
    taker.messagesIn += 1;
    taker.bytesIn += cost.bytes;
    taker.decodeMs += cost.decodeMs;
    const row = this.#kinds.get(frame.kind) ?? { messages: 0, bytes: 0 };
    row.messages += 1;
    row.bytes += cost.bytes;
    this.#kinds.set(frame.kind, row);
  };

  readonly step = <T>(actor: SimulatedProcess, work: () => T): T => {
    if (!this.open) return work();
    const began = performance.now();
    const result = work();
    this.of(actor.node).stepMs += performance.now() - began;
    return result;
  };

  #weigh(frame: Frame, sender: Use): Cost {
    const began = performance.now();
    const bytes = serializeFrame(frame);
    const between = performance.now();
    sender.encodeMs += between - began;
    const read = deserializeFrame(bytes);
    const decodeMs = performance.now() - between;
    if (read.isErr) throw new Error(`${frame.kind}: ${read.error.text}`);
    const cost = { bytes: bytes.length + headBytes, decodeMs };
    this.#frames.set(frame, cost);
    return cost;
  }
}
