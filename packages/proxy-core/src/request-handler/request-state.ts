import { createHash, type Hash } from 'node:crypto';
import type { Address, RequestId, Seq } from '@switchwheel/types';
import type { HeaderFields, FrameOf } from '@switchwheel/transport';
import type { ClientConnection, ClientStream } from './ports.js';

/** What a forwarded request came to; a result in parts went to its caller as it came. */
export type RequestOutcome =
  | {
      readonly kind: 'complete';
      readonly status: number;
      readonly fields: HeaderFields;
      readonly body: Buffer;
      readonly digest: string;
      readonly ageMs: number;
      readonly purgeSeqAtFetch: Seq;
      readonly source: string;
    }
  | {
      readonly kind: 'failure';
      readonly errorKind: FrameOf<'reject'>['errorKind'];
      readonly text: string;
      readonly retryMs: number;
    }
  | { readonly kind: 'streamed' };

/** What became of what came in for a trip; a late result is right, but not sure to be good any more. */
export type ReceiveResult = 'on' | 'over' | 'broken' | 'late';

type ResponsePhase =
  | { readonly phase: 'asked' }
  | { readonly phase: 'holding'; readonly head: FrameOf<'result'>; readonly chunks: Buffer[] }
  | {
      readonly phase: 'streaming';
      readonly head: FrameOf<'result'>;
      readonly stream: ClientStream;
    };

/** One forwarded request at its edge: its body, and its result as it comes in. */
export class RequestState {
  readonly id: RequestId;
  readonly body: Uint8Array;
  /** Whether a result with these fields comes too late to be told. */
  readonly #isStale: (fields: HeaderFields) => boolean;
  readonly onOutcome: (outcome: RequestOutcome) => void;
  readonly #client: ClientConnection;
  readonly #maxBufferedBytes: number;
  readonly #hash: Hash = createHash('sha256');
  #phase: ResponsePhase = { phase: 'asked' };
  #receivedBytes = 0;
  /** The newest part of a stream stays here until what follows it, or the end, is known to be right. */
  #heldChunk: { readonly bytes: Buffer; readonly more: () => void } | undefined;
  leader: Address | undefined;

  constructor(
    id: RequestId,
    body: Uint8Array,
    caller: ClientConnection,
    most: number,
    late: (fields: HeaderFields) => boolean,
    end: (outcome: RequestOutcome) => void,
  ) {
    this.id = id;
    this.body = body;
    this.#client = caller;
    this.#maxBufferedBytes = most;
    this.#isStale = late;
    this.onOutcome = end;
  }

  get hasResponse(): boolean {
    return this.#phase.phase !== 'asked';
  }

  startResponse(frame: FrameOf<'result'>): ReceiveResult {
    this.#phase = { phase: 'holding', head: frame, chunks: [] };
    if (!frame.streamed) return 'on';
    if (this.#isStale(frame.fields)) return 'late';
    this.#phase = {
      phase: 'streaming',
      head: frame,
      stream: this.#client.startStream(frame.status, frame.fields, frame.length),
    };
    this.onOutcome({ kind: 'streamed' });
    return 'on';
  }

  /** Takes bytes in; calls back when there is room for as many more. */
  addChunk(bytes: Buffer, more: () => void): ReceiveResult {
    const stage = this.#phase;
    if (stage.phase === 'asked') return 'on';
    this.#receivedBytes += bytes.length;
    this.#hash.update(bytes);
    if (stage.phase === 'holding') {
      stage.chunks.push(bytes);
      return this.#receivedBytes > this.#maxBufferedBytes ? 'broken' : 'on';
    }
    const told = stage.head.length;
    if (told !== undefined && this.#receivedBytes > told) return 'broken';
    const before = this.#heldChunk;
    this.#heldChunk = { bytes, more };
    if (before !== undefined) stage.stream.write(before.bytes, before.more);
    return 'on';
  }

  /** The keeper says that all of it went out: it counts only if it is what came in. */
  finish(frame: FrameOf<'done'>): ReceiveResult {
    const stage = this.#phase;
    if (stage.phase === 'asked') return 'on';
    const { head } = stage;
    const digest = this.#hash.digest('base64');
    const fits =
      digest === frame.digest &&
      this.#receivedBytes === frame.length &&
      (head.length === undefined || head.length === this.#receivedBytes);
    if (!fits) return 'broken';
    if (stage.phase === 'holding') {
      const { status, fields, age, purged } = head;
      if (this.#isStale(fields)) return 'late';
      this.onOutcome({
        kind: 'complete',
        status,
        fields,
        body: Buffer.concat(stage.chunks),
        digest,
        ageMs: age,
        purgeSeqAtFetch: purged,
        source: head.from === 'cache' ? 'shield' : 'origin',
      });
      return 'over';
    }
    if (this.#heldChunk !== undefined) stage.stream.write(this.#heldChunk.bytes, () => undefined);
    stage.stream.end();
    return 'over';
  }

  /** Ends it without a whole result: one that is already being told breaks off so that the caller sees it. */
  fail(fault: FrameOf<'reject'>['errorKind'], text: string, retryMs: number): void {
    if (this.#phase.phase === 'streaming') this.#phase.stream.abort(text);
    else this.onOutcome({ kind: 'failure', errorKind: fault, text, retryMs });
  }
}
