/**
 * A shield's side of the data channels: forwarded requests come in, responses go back, streamed ones
 * no faster than their flow-control window allows.
 */

import { createHash, type Hash } from 'node:crypto';
import { type RequestId, type Timestamp, type Seq, toDurationMs } from '@switchwheel/types';
import type { ForwardedRequest, HeaderFields, Frame, FrameOf } from '@switchwheel/transport';
import type { DataChannel, DataChannelHandlers, TransferLimits } from './ports.js';

/** A request that came in, with the channel that its response goes back on. */
export interface InboundRequest {
  readonly request: ForwardedRequest;
  readonly channel: DataChannel;
  readonly arrivedAt: Timestamp;
  /** How many more bytes of a streamed response the edge takes now; below 0 after a large chunk. */
  windowBytes: number;
  /** Goes on with a streamed response that waits for its window. */
  resume: (() => void) | undefined;
  hasAttemptStarted: boolean;
  /** Whether an attempt's response is going back in parts: no other's may. */
  isStreaming: boolean;
}

/** A complete response, from an origin or from the cache. */
export interface UpstreamResponse {
  readonly status: number;
  readonly fields: HeaderFields;
  readonly body: Buffer;
  readonly digest: string;
  /** How old it was when the request came in. */
  readonly ageMs: number;
  readonly source: 'origin' | 'cache';
  /** The last purge that was applied when its fetch began. */
  readonly purgeSeqAtFetch: Seq;
}

/** The head of a response that goes back in parts. */
export interface StreamHead {
  readonly status: number;
  readonly fields: HeaderFields;
  /** The length of the body, if the origin gave it. */
  readonly length: number | undefined;
  readonly purgeSeqAtFetch: Seq;
}

/** Writes a response that goes back in parts. */
export interface ResponseWriter {
  /** Sends bytes; calls back when there is room for more; false if nobody takes them any longer. */
  readonly write: (bytes: Buffer, onReady: () => void) => boolean;
  /** Ends the response; one that is not complete breaks off visibly. */
  readonly end: (isComplete: boolean) => void;
}

/** What becomes of the requests that come in. */
export interface InboundHandlers {
  readonly onRequest: (inbound: InboundRequest) => void;
  readonly onCancelled: (id: RequestId) => void;
}

/** The requests of edges that this shield has not responded to. */
export class InboundRequests {
  readonly #requests = new Map<RequestId, InboundRequest>();
  readonly #limits: TransferLimits;
  readonly #handlers: InboundHandlers;

  constructor(limits: TransferLimits, handlers: InboundHandlers) {
    this.#limits = limits;
    this.#handlers = handlers;
  }

  /** How many requests are under way. */
  get size(): number {
    return this.#requests.size;
  }

  /** The request with an id, if it is under way. */
  find(id: RequestId): InboundRequest | undefined {
    return this.#requests.get(id);
  }

  /** Takes a channel that an edge opened; when it closes, its requests are cancelled. */
  accept(channel: DataChannel, clock: () => Timestamp): Omit<DataChannelHandlers, 'onOpen'> {
    const ids = new Set<RequestId>();
    const onFrame = (received: Frame): void => {
      switch (received.kind) {
        case 'ask':
          if (this.#requests.has(received.id)) return;
          ids.add(received.id);
          this.#open(received, channel, clock());
          break;
        case 'quit':
          ids.delete(received.id);
          this.#cancel(received.id);
          break;
        case 'credit':
          this.#extendWindow(received.id, received.bytes);
          break;
        default:
          channel.terminate(`foreign: ${received.kind} on a data channel`);
      }
    };
    const onClosed = (): void => {
      for (const id of ids) this.#cancel(id);
    };
    return { onFrame, onClosed };
  }

  /** Turns a request away. */
  reject(id: RequestId, frame: Omit<FrameOf<'reject'>, 'kind' | 'id'>): void {
    const inbound = this.#requests.get(id);
    this.#requests.delete(id);
    inbound?.channel.send({ kind: 'reject', id, ...frame });
  }

  /** Tells the edge that the first attempt of a request starts. */
  notifyAttemptStarted(id: RequestId): void {
    const inbound = this.#requests.get(id);
    if (inbound === undefined || inbound.hasAttemptStarted) return;
    inbound.hasAttemptStarted = true;
    inbound.channel.send({ kind: 'begun', id });
  }

  /** Sends a complete response back. */
  respond(id: RequestId, response: UpstreamResponse): void {
    const inbound = this.#requests.get(id);
    if (inbound === undefined || inbound.isStreaming) return;
    this.#requests.delete(id);
    const { channel } = inbound;
    const { status, fields, body, digest, ageMs, source, purgeSeqAtFetch } = response;
    const { chunkBytes } = this.#limits;
    channel.send({
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
    for (let offset = 0; offset < body.length; offset += chunkBytes)
      channel.send({ kind: 'chunk', id, bytes: body.subarray(offset, offset + chunkBytes) });
    channel.send({ kind: 'done', id, digest, length: body.length });
  }

  /** Opens a response that goes back in parts; undefined if nobody waits for it. */
  startStream(id: RequestId, head: StreamHead): ResponseWriter | undefined {
    const inbound = this.#requests.get(id);
    if (inbound === undefined || inbound.isStreaming) return undefined;
    inbound.isStreaming = true;
    inbound.channel.send({
      kind: 'result',
      id,
      status: head.status,
      fields: head.fields,
      ...(head.length === undefined ? {} : { length: head.length }),
      age: toDurationMs(0),
      from: 'origin',
      purged: head.purgeSeqAtFetch,
      streamed: true,
    });
    return this.#streamWriter(id, inbound);
  }

  #streamWriter(id: RequestId, inbound: InboundRequest): ResponseWriter {
    const hash = createHash('sha256');
    let length = 0;
    return {
      write: (bytes, onReady) => {
        if (this.#requests.get(id) !== inbound) return false;
        inbound.windowBytes -= bytes.length;
        length += bytes.length;
        hash.update(bytes);
        inbound.channel.send({ kind: 'chunk', id, bytes });
        if (inbound.windowBytes > 0) onReady();
        else inbound.resume = onReady;
        return true;
      },
      end: (isComplete) => {
        if (this.#requests.get(id) !== inbound) return;
        if (isComplete) this.#endStream(inbound, hash, length);
        else
          this.reject(id, {
            errorKind: 'lost',
            text: 'the result broke off',
            retryAfter: 0,
            moved: false,
          });
      },
    };
  }

  #endStream({ request, channel }: InboundRequest, hash: Hash, length: number): void {
    this.#requests.delete(request.id);
    channel.send({ kind: 'done', id: request.id, digest: hash.digest('base64'), length });
  }

  #open(request: ForwardedRequest, channel: DataChannel, arrivedAt: Timestamp): void {
    const inbound: InboundRequest = {
      request,
      channel,
      arrivedAt,
      windowBytes: this.#limits.windowBytes,
      resume: undefined,
      hasAttemptStarted: false,
      isStreaming: false,
    };
    this.#requests.set(request.id, inbound);
    this.#handlers.onRequest(inbound);
  }

  #extendWindow(id: RequestId, bytes: number): void {
    const inbound = this.#requests.get(id);
    if (inbound === undefined) return;
    inbound.windowBytes += bytes;
    const { resume } = inbound;
    if (inbound.windowBytes <= 0 || resume === undefined) return;
    inbound.resume = undefined;
    resume();
  }

  #cancel(id: RequestId): void {
    if (this.#requests.delete(id)) this.#handlers.onCancelled(id);
  }
}
