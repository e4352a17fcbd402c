/**
 * Shield side of the data channels: receives forwarded requests and sends the responses; streamed
 * ones are limited by a flow-control window.
 */

import { createHash, type Hash } from 'node:crypto';
import { type RequestId, type Timestamp, type Seq, toDurationMs } from '@switchwheel/types';
import type { ForwardedRequest, HeaderFields, Frame, FrameOf } from '@switchwheel/transport';
import type { DataChannel, DataChannelHandlers, TransferLimits } from './ports.js';

/** Forwarded request, with the channel on which to respond. */
export interface InboundRequest {
  readonly request: ForwardedRequest;
  readonly channel: DataChannel;
  readonly arrivedAt: Timestamp;
  /**
   * Bytes of a streamed response that the edge still accepts; negative after a chunk larger than
   * the window.
   */
  windowBytes: number;
  /** Resumes a streamed response that is waiting for its window. */
  resume: (() => void) | undefined;
  hasAttemptStarted: boolean;
  /** Whether the response of an attempt is being streamed; no other attempt may respond then. */
  isStreaming: boolean;
}

/** Complete response, from an origin or from the cache. */
export interface UpstreamResponse {
  readonly status: number;
  readonly fields: HeaderFields;
  readonly body: Buffer;
  readonly digest: string;
  /** Age at the arrival of the request, in milliseconds. */
  readonly ageMs: number;
  readonly source: 'origin' | 'cache';
  /** Last purge that had been applied when its fetch started. */
  readonly purgeSeqAtFetch: Seq;
}

/** Head of a streamed response. */
export interface StreamHead {
  readonly status: number;
  readonly fields: HeaderFields;
  /** Length of the body, if the origin sent it. */
  readonly length: number | undefined;
  readonly purgeSeqAtFetch: Seq;
}

/** Writer of a streamed response. */
export interface ResponseWriter {
  /**
   * Sends bytes and calls `onReady` once more are accepted; returns false if the request is gone.
   */
  readonly write: (bytes: Buffer, onReady: () => void) => boolean;
  /** Ends the response; with `isComplete` false it is rejected as lost. */
  readonly end: (isComplete: boolean) => void;
}

/** Handlers for forwarded requests. */
export interface InboundHandlers {
  readonly onRequest: (inbound: InboundRequest) => void;
  readonly onCancelled: (id: RequestId) => void;
}

/** Forwarded requests that this shield has not responded to. */
export class InboundRequests {
  readonly #requests = new Map<RequestId, InboundRequest>();
  readonly #limits: TransferLimits;
  readonly #handlers: InboundHandlers;

  constructor(limits: TransferLimits, handlers: InboundHandlers) {
    this.#limits = limits;
    this.#handlers = handlers;
  }

  /** Number of requests in progress. */
  get size(): number {
    return this.#requests.size;
  }

  /** Returns a request in progress by its id. */
  find(id: RequestId): InboundRequest | undefined {
    return this.#requests.get(id);
  }

  /** Accepts a channel opened by an edge. When it closes, its requests are cancelled. */
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
          channel.terminate(`foreign: unexpected frame ${received.kind} on a data channel`);
      }
    };
    const onClosed = (): void => {
      for (const id of ids) this.#cancel(id);
    };
    return { onFrame, onClosed };
  }

  /** Rejects a request. */
  reject(id: RequestId, frame: Omit<FrameOf<'reject'>, 'kind' | 'id'>): void {
    const inbound = this.#requests.get(id);
    this.#requests.delete(id);
    inbound?.channel.send({ kind: 'reject', id, ...frame });
  }

  /** Notifies the edge of the start of a request's first attempt. */
  notifyAttemptStarted(id: RequestId): void {
    const inbound = this.#requests.get(id);
    if (inbound === undefined || inbound.hasAttemptStarted) return;
    inbound.hasAttemptStarted = true;
    inbound.channel.send({ kind: 'begun', id });
  }

  /** Sends a complete response to the edge. It is dropped if another response is being streamed. */
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

  /**
   * Starts a streamed response; returns undefined if the request is gone or another response is
   * being streamed.
   */
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
