/**
 * One forwarded request at its edge: its body, and its response as it comes in. A response counts
 * only if its length and digest are those that the leader reports at its end.
 */

import { createHash, type Hash } from 'node:crypto';
import type { Address, RequestId, Seq } from '@switchwheel/types';
import type { HeaderFields, FrameOf } from '@switchwheel/transport';
import type { ClientConnection, ClientStream } from './ports.js';

/** What a forwarded request came to. */
export type RequestOutcome =
  | {
      readonly kind: 'complete';
      readonly status: number;
      readonly fields: HeaderFields;
      readonly body: Buffer;
      readonly digest: string;
      readonly ageMs: number;
      /** The last purge that was applied where the response was fetched, when its fetch began. */
      readonly purgeSeqAtFetch: Seq;
      readonly source: string;
    }
  | {
      readonly kind: 'failure';
      readonly errorKind: FrameOf<'reject'>['errorKind'];
      readonly text: string;
      readonly retryAfterMs: number;
    }
  /** The response goes to the client as it comes in. */
  | { readonly kind: 'streamed' };

/** What follows from what came in; a stale response is right, but not sure to be still valid. */
export type ReceiveResult = 'continue' | 'complete' | 'corrupt' | 'stale';

type ResponsePhase =
  | { readonly phase: 'awaitingHead' }
  | { readonly phase: 'buffering'; readonly head: FrameOf<'result'>; readonly chunks: Buffer[] }
  | {
      readonly phase: 'streaming';
      readonly head: FrameOf<'result'>;
      readonly stream: ClientStream;
    };

/** What a forwarded request stands on. */
export interface RequestStateOptions {
  readonly id: RequestId;
  readonly body: Uint8Array;
  readonly client: ClientConnection;
  /** A response that is not streamed may not be larger. */
  readonly maxBufferedBytes: number;
  /** Whether a response with these fields comes too late to be used. */
  readonly isStale: (fields: HeaderFields) => boolean;
  readonly onOutcome: (outcome: RequestOutcome) => void;
}

/** The state of one forwarded request. */
export class RequestState {
  readonly id: RequestId;
  readonly body: Uint8Array;
  /** The address of the leader that it was last sent to. */
  leader: Address | undefined;
  readonly #options: RequestStateOptions;
  readonly #hash: Hash = createHash('sha256');
  #phase: ResponsePhase = { phase: 'awaitingHead' };
  #receivedBytes = 0;
  /** The newest chunk of a stream waits until what follows it, or the end, is known to be right. */
  #heldChunk: { readonly bytes: Buffer; readonly onReady: () => void } | undefined;

  constructor(options: RequestStateOptions) {
    this.id = options.id;
    this.body = options.body;
    this.#options = options;
  }

  /** Whether the head of a response has come in. */
  get hasResponse(): boolean {
    return this.#phase.phase !== 'awaitingHead';
  }

  /** Takes the head of a response in; a streamed one goes on to the client at once. */
  startResponse(head: FrameOf<'result'>): ReceiveResult {
    this.#phase = { phase: 'buffering', head, chunks: [] };
    if (!head.streamed) return 'continue';
    if (this.#options.isStale(head.fields)) return 'stale';
    const stream = this.#options.client.startStream(head.status, head.fields, head.length);
    this.#phase = { phase: 'streaming', head, stream };
    this.#options.onOutcome({ kind: 'streamed' });
    return 'continue';
  }

  /** Takes bytes of the body in; calls back when there is room for as many more. */
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

  /** Takes the end of a response in: it counts only if it is what the leader says that it sent. */
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

  /** Ends it without a complete response: a stream is aborted, so that the client sees it. */
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
