import { createHash } from 'node:crypto';
import type { RequestId, Timestamp, Seq } from '@switchwheel/types';
import { toDurationMs } from '@switchwheel/types';
import type { ForwardedRequest, HeaderFields, Frame, FrameOf } from '@switchwheel/transport';
import type { DataChannel, DataChannelHandlers, TransferLimits } from './ports.js';

/** An ask that came in, with the channel its result goes back on. */
export interface InboundRequest {
  readonly request: ForwardedRequest;
  readonly channel: DataChannel;
  readonly arrivedAt: Timestamp;
  windowBytes: number;
  /** Waits for room. */
  resume: (() => void) | undefined;
  attemptStarted: boolean;
  /** Whether a leg's result is going out in parts: no other's may. */
  isStreaming: boolean;
}

export interface UpstreamResponse {
  readonly status: number;
  readonly fields: HeaderFields;
  readonly body: Buffer;
  readonly digest: string;
  /** How old it was when the ask came in. */
  readonly ageMs: number;
  readonly source: 'origin' | 'cache';
  readonly purgeSeqAtFetch: Seq;
}

/** A result that goes back in parts. */
export interface ResponseWriter {
  readonly write: (bytes: Buffer, more: () => void) => boolean;
  readonly end: (whole: boolean) => void;
}

/** A shield's side of the data channels: asks come in, results go back. */
export class InboundRequests {
  readonly #requests = new Map<RequestId, InboundRequest>();
  readonly #limits: TransferLimits;
  readonly #onRequest: (one: InboundRequest) => void;
  readonly #onCancelled: (id: RequestId) => void;

  constructor(
    sizes: TransferLimits,
    asked: (one: InboundRequest) => void,
    quit: (id: RequestId) => void,
  ) {
    this.#limits = sizes;
    this.#onRequest = asked;
    this.#onCancelled = quit;
  }

  get size(): number {
    return this.#requests.size;
  }

  find(id: RequestId): InboundRequest | undefined {
    return this.#requests.get(id);
  }

  /** Takes a channel that an edge opened. */
  accept(channel: DataChannel, clock: () => Timestamp): Omit<DataChannelHandlers, 'up'> {
    const mine = new Set<RequestId>();
    const frame = (word: Frame): void => {
      if (word.kind === 'ask') {
        if (this.#requests.has(word.id)) return;
        const one: InboundRequest = {
          request: word,
          channel,
          arrivedAt: clock(),
          windowBytes: this.#limits.windowBytes,
          resume: undefined,
          attemptStarted: false,
          isStreaming: false,
        };
        this.#requests.set(word.id, one);
        mine.add(word.id);
        this.#onRequest(one);
      } else if (word.kind === 'quit') {
        mine.delete(word.id);
        this.#cancel(word.id);
      } else if (word.kind === 'credit') this.#extendWindow(word.id, word.bytes);
      else channel.terminate(`foreign: ${word.kind} on a data channel`);
    };
    const closed = (): void => {
      for (const id of mine) this.#cancel(id);
    };
    return { frame, closed };
  }

  reject(id: RequestId, frame: Omit<FrameOf<'reject'>, 'kind' | 'id'>): void {
    const one = this.#requests.get(id);
    this.#requests.delete(id);
    one?.channel.send({ kind: 'reject', id, ...frame });
  }

  /** Says that the first leg of an ask goes out. */
  notifyAttemptStarted(id: RequestId): void {
    const one = this.#requests.get(id);
    if (one === undefined || one.attemptStarted) return;
    one.attemptStarted = true;
    one.channel.send({ kind: 'begun', id });
  }

  /** Sends a whole result back. */
  respond(id: RequestId, told: UpstreamResponse): void {
    const one = this.#requests.get(id);
    if (one === undefined || one.isStreaming) return;
    this.#requests.delete(id);
    const { status, fields, body, digest, ageMs, source, purgeSeqAtFetch } = told;
    const { chunkBytes } = this.#limits;
    one.channel.send({
      kind: 'result',
      id,
      status,
      fields,
      length: body.length,
      age: toDurationMs(ageMs),
      from: source,
      purged: purgeSeqAtFetch,
      streamed: false,
    });
    for (let at = 0; at < body.length; at += chunkBytes)
      one.channel.send({ kind: 'chunk', id, bytes: body.subarray(at, at + chunkBytes) });
    one.channel.send({ kind: 'done', id, digest, length: body.length });
  }

  /** Opens a result that goes back in parts, no faster than the caller takes it. */
  startStream(
    id: RequestId,
    status: number,
    fields: HeaderFields,
    length: number | undefined,
    purged: Seq,
  ): ResponseWriter | undefined {
    const one = this.#requests.get(id);
    if (one === undefined || one.isStreaming) return undefined;
    one.isStreaming = true;
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
      write: (bytes, more) => {
        if (this.#requests.get(id) !== one) return false;
        one.windowBytes -= bytes.length;
        size += bytes.length;
        sum.update(bytes);
        one.channel.send({ kind: 'chunk', id, bytes });
        if (one.windowBytes > 0) more();
        else one.resume = more;
        return true;
      },
      end: (whole) => {
        if (this.#requests.get(id) !== one) return;
        this.#requests.delete(id);
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

  #extendWindow(id: RequestId, bytes: number): void {
    const one = this.#requests.get(id);
    if (one === undefined) return;
    one.windowBytes += bytes;
    const { resume } = one;
    if (one.windowBytes <= 0 || resume === undefined) return;
    one.resume = undefined;
    resume();
  }

  #cancel(id: RequestId): void {
    if (this.#requests.delete(id)) this.#onCancelled(id);
  }
}
