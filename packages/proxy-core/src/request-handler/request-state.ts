/**
 * State of one forwarded request at its edge: its body, and its response as it arrives. A response
 * is only accepted if its length and digest match those that the leader reports at its end.
 */

import { createHash, type Hash } from 'node:crypto';
import type { Address, RequestId, Seq } from '@switchwheel/types';
import type { HeaderFields, FrameOf } from '@switchwheel/transport';
import type { ClientConnection, ClientStream } from './ports.js';

/** Outcome of a forwarded request. */
export type ForwardOutcome =
  | {
      readonly kind: 'complete';
      readonly status: number;
      readonly fields: HeaderFields;
      readonly body: Buffer;
      readonly digest: string;
      readonly ageMs: number;
      /** Last purge that had been applied at the fetching node when the fetch started. */
      readonly purgeSeqAtFetch: Seq;
      readonly source: string;
    }
  | {
      readonly kind: 'failure';
      readonly errorKind: FrameOf<'reject'>['errorKind'];
      readonly text: string;
      readonly retryAfterMs: number;
    }
  /** The response is streamed to the client. */
  | { readonly kind: 'streamed' };

/**
 * Result of receiving a part of a response; a stale response is intact, but may no longer be valid.
 */
export type ReceiveResult = 'continue' | 'complete' | 'corrupt' | 'stale';

type ResponsePhase =
  | { readonly phase: 'awaitingHead' }
  | { readonly phase: 'buffering'; readonly head: FrameOf<'result'>; readonly chunks: Buffer[] }
  | {
      readonly phase: 'streaming';
      readonly head: FrameOf<'result'>;
      readonly stream: ClientStream;
    };

/** Options of `ForwardedRequestState`. */
export interface ForwardedRequestOptions {
  readonly id: RequestId;
  readonly body: Uint8Array;
  readonly client: ClientConnection;
  /** Maximum size of a response that is not streamed. */
  readonly maxBufferedBytes: number;
  /** Whether a response with these header fields arrives too late to be used. */
  readonly isStale: (fields: HeaderFields) => boolean;
  readonly onOutcome: (outcome: ForwardOutcome) => void;
}

/** State of one forwarded request. */
export class ForwardedRequestState {
  readonly id: RequestId;
  readonly body: Uint8Array;
  /** Address of the leader to which it was last sent. */
  leader: Address | undefined;
  readonly #options: ForwardedRequestOptions;
  readonly #hash: Hash = createHash('sha256');
  #phase: ResponsePhase = { phase: 'awaitingHead' };
  #receivedBytes = 0;
  /** Latest chunk of a stream, held back until the next chunk or the end has been verified. */
  #heldChunk: { readonly bytes: Buffer; readonly onReady: () => void } | undefined;

  constructor(options: ForwardedRequestOptions) {
    this.id = options.id;
    this.body = options.body;
    this.#options = options;
  }

  /** Whether the head of a response has arrived. */
  get hasResponse(): boolean {
    return this.#phase.phase !== 'awaitingHead';
  }

  /**
   * Handles the head of a response; starts the stream to the client if the response is streamed.
   */
  startResponse(head: FrameOf<'result'>): ReceiveResult {
    this.#phase = { phase: 'buffering', head, chunks: [] };
    if (!head.streamed) return 'continue';
    if (this.#options.isStale(head.fields)) return 'stale';
    const stream = this.#options.client.startStream(head.status, head.fields, head.length);
    this.#phase = { phase: 'streaming', head, stream };
    this.#options.onOutcome({ kind: 'streamed' });
    return 'continue';
  }

  /** Handles bytes of the body; calls `onReady` when as many more are accepted. */
  addChunk(bytes: Buffer, onReady: () => void): ReceiveResult {
    const phase = this.#phase;
    if (phase.phase === 'awaitingHead') return 'continue';
    this.#receivedBytes += bytes.length;
    this.#hash.update(bytes);
    if (phase.phase === 'buffering') {
      phase.chunks.push(bytes);
      return this.#receivedBytes > this.#options.maxBufferedBytes ? 'corrupt' : 'continue';
    }
    const { length } = phase.head;
    if (length !== undefined && this.#receivedBytes > length) return 'corrupt';
    const previousChunk = this.#heldChunk;
    this.#heldChunk = { bytes, onReady };
    if (previousChunk !== undefined) phase.stream.write(previousChunk.bytes, previousChunk.onReady);
    return 'continue';
  }

  /**
   * Handles the end of a response, and verifies its length and digest against those reported by the
   * leader.
   */
  finish(end: FrameOf<'done'>): ReceiveResult {
    const phase = this.#phase;
    if (phase.phase === 'awaitingHead') return 'continue';
    const digest = this.#hash.digest('base64');
    if (!this.#isAllReceived(phase.head, end, digest)) return 'corrupt';
    if (phase.phase === 'streaming') {
      this.#endStream(phase.stream);
      return 'complete';
    }
    const { status, fields, age, purged, from } = phase.head;
    if (this.#options.isStale(fields)) return 'stale';
    this.#options.onOutcome({
      kind: 'complete',
      status,
      fields,
      body: Buffer.concat(phase.chunks),
      digest,
      ageMs: age,
      purgeSeqAtFetch: purged,
      source: from === 'cache' ? 'shield' : 'origin',
    });
    return 'complete';
  }

  /** Fails the request; a stream is aborted, so that the client sees that it is incomplete. */
  fail(errorKind: FrameOf<'reject'>['errorKind'], text: string, retryAfterMs: number): void {
    if (this.#phase.phase === 'streaming') this.#phase.stream.abort(text);
    else this.#options.onOutcome({ kind: 'failure', errorKind, text, retryAfterMs });
  }

  #isAllReceived(head: FrameOf<'result'>, end: FrameOf<'done'>, digest: string): boolean {
    return (
      digest === end.digest &&
      this.#receivedBytes === end.length &&
      (head.length === undefined || head.length === this.#receivedBytes)
    );
  }

  #endStream(stream: ClientStream): void {
    if (this.#heldChunk !== undefined) stream.write(this.#heldChunk.bytes, () => undefined);
    stream.end();
  }
}
