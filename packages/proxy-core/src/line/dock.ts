import { createHash } from 'node:crypto';
import type { RequestId, Timestamp, Seq } from '@switchwheel/types';
import { toDurationMs } from '@switchwheel/types';
import type { Ask, Fields, Frame, FrameOf } from '@switchwheel/transport';
import type { DataChannel, DataEars, Measures } from './port.js';

/** An ask that came in, with the channel its result goes back on. */
export interface Inbound {
  readonly ask: Ask;
  readonly channel: DataChannel;
  readonly came: Timestamp;
  credit: number;
  /** Waits for room. */
  wake: (() => void) | undefined;
  begun: boolean;
  /** Whether a leg's result is going out in parts: no other's may. */
  streaming: boolean;
}

export interface Finding {
  readonly status: number;
  readonly fields: Fields;
  readonly body: Buffer;
  readonly digest: string;
  /** How old it was when the ask came in. */
  readonly age: number;
  readonly from: 'origin' | 'cache';
  readonly purged: Seq;
}

/** A result that goes back in parts. */
export interface Outflow {
  readonly part: (bytes: Buffer, more: () => void) => boolean;
  readonly end: (whole: boolean) => void;
}

/** A shield's side of the data channels: asks come in, results go back. */
export class Dock {
  readonly #open = new Map<RequestId, Inbound>();
  readonly #measures: Measures;
  readonly #asked: (one: Inbound) => void;
  readonly #quit: (id: RequestId) => void;

  constructor(sizes: Measures, asked: (one: Inbound) => void, quit: (id: RequestId) => void) {
    this.#measures = sizes;
    this.#asked = asked;
    this.#quit = quit;
  }

  get size(): number {
    return this.#open.size;
  }

  find(id: RequestId): Inbound | undefined {
    return this.#open.get(id);
  }

  /** Takes a channel that an edge opened. */
  take(channel: DataChannel, clock: () => Timestamp): Omit<DataEars, 'up'> {
    const mine = new Set<RequestId>();
    const frame = (word: Frame): void => {
      if (word.kind === 'ask') {
        if (this.#open.has(word.id)) return;
        const one: Inbound = {
          ask: word,
          channel,
          came: clock(),
          credit: this.#measures.ahead,
          wake: undefined,
          begun: false,
          streaming: false,
        };
        this.#open.set(word.id, one);
        mine.add(word.id);
        this.#asked(one);
      } else if (word.kind === 'quit') {
        mine.delete(word.id);
        this.#leave(word.id);
      } else if (word.kind === 'credit') this.#refill(word.id, word.bytes);
      else channel.terminate(`foreign: ${word.kind} on a data channel`);
    };
    const closed = (): void => {
      for (const id of mine) this.#leave(id);
    };
    return { frame, closed };
  }

  reject(id: RequestId, frame: Omit<FrameOf<'reject'>, 'kind' | 'id'>): void {
    const one = this.#open.get(id);
    this.#open.delete(id);
    one?.channel.send({ kind: 'reject', id, ...frame });
  }

  /** Says that the first leg of an ask goes out. */
  begun(id: RequestId): void {
    const one = this.#open.get(id);
    if (one === undefined || one.begun) return;
    one.begun = true;
    one.channel.send({ kind: 'begun', id });
  }

  /** Sends a whole result back. */
  tell(id: RequestId, told: Finding): void {
    const one = this.#open.get(id);
    if (one === undefined || one.streaming) return;
    this.#open.delete(id);
    const { status, fields, body, digest, age, from, purged } = told;
    const { chunk } = this.#measures;
    one.channel.send({
      kind: 'result',
      id,
      status,
      fields,
      length: body.length,
      age: toDurationMs(age),
      from,
      purged,
      streamed: false,
    });
    for (let at = 0; at < body.length; at += chunk)
      one.channel.send({ kind: 'chunk', id, bytes: body.subarray(at, at + chunk) });
    one.channel.send({ kind: 'done', id, digest, length: body.length });
  }

  /** Opens a result that goes back in parts, no faster than the caller takes it. */
  stream(
    id: RequestId,
    status: number,
    fields: Fields,
    length: number | undefined,
    purged: Seq,
  ): Outflow | undefined {
    const one = this.#open.get(id);
    if (one === undefined || one.streaming) return undefined;
    one.streaming = true;
    const sum = createHash('sha256');
    let size = 0;
    one.channel.send({
      kind: 'result',
      id,
      status,
      fields,
      ...(length === undefined ? {} : { length }),
      age: toDurationMs(0),
      from: 'origin',
      purged,
      streamed: true,
    });
    return {
      part: (bytes, more) => {
        if (this.#open.get(id) !== one) return false;
        one.credit -= bytes.length;
        size += bytes.length;
        sum.update(bytes);
        one.channel.send({ kind: 'chunk', id, bytes });
        if (one.credit > 0) more();
        else one.wake = more;
        return true;
      },
      end: (whole) => {
        if (this.#open.get(id) !== one) return;
        this.#open.delete(id);
        if (whole)
          one.channel.send({ kind: 'done', id, digest: sum.digest('base64'), length: size });
        else
          one.channel.send({
            kind: 'reject',
            id,
            errorKind: 'lost',
            text: 'the result broke off',
            retryAfter: 0,
            moved: false,
          });
      },
    };
  }

  #refill(id: RequestId, bytes: number): void {
    const one = this.#open.get(id);
    if (one === undefined) return;
    one.credit += bytes;
    const { wake } = one;
    if (one.credit <= 0 || wake === undefined) return;
    one.wake = undefined;
    wake();
  }

  #leave(id: RequestId): void {
    if (this.#open.delete(id)) this.#quit(id);
  }
}
