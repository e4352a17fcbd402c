/**
 * Verification of the response of one attempt: it must be complete and name the instance that was
 * asked. A large response is passed on while it is received, and its end reports whether it was
 * complete.
 */

import type { HeaderFields } from '@switchwheel/transport';
import { fieldValue } from '../cache/header-fields.js';
import type { AttemptOutcome } from '../service-leader/state.js';
import { DigestVerifier } from './digest-verifier.js';
import type { AttemptFailure, OriginAttemptHandlers, OriginAttemptRequest } from './ports.js';

/** Response with its complete body. */
export interface CompleteResponse {
  readonly status: number;
  readonly fields: HeaderFields;
  readonly body: Buffer;
}

/** Outcome of an attempt, with its response if that is complete and was not streamed. */
export interface AttemptResult {
  readonly outcome: AttemptOutcome;
  readonly response: CompleteResponse | undefined;
}

/** Receives a response that is too large to buffer. */
export interface ResponseSink {
  readonly start: (status: number, fields: HeaderFields, length: number | undefined) => void;
  /**
   * Writes bytes and calls `onReady` once more are accepted; returns false if the receiver is gone.
   */
  readonly write: (bytes: Buffer, onReady: () => void) => boolean;
}

/** Whether the origin declared that it did not run the request. */
const isDeclaredNotRun = (status: number, fields: HeaderFields): boolean =>
  status >= 400 && (fieldValue(fields, 'switchwheel-unrun') ?? '').toLowerCase() === 'true';

const hasNoBody = (method: string, status: number): boolean =>
  method === 'HEAD' || status === 204 || status === 304;

interface ResponseHead {
  readonly status: number;
  readonly fields: HeaderFields;
  readonly contentLength: number | undefined;
  readonly isChunked: boolean;
  readonly digests: DigestVerifier;
}

/** Options of `ResponseVerifier`. */
export interface ResponseVerifierOptions {
  readonly request: OriginAttemptRequest;
  /** Size above which a response is passed on while it is received. */
  readonly maxBufferedBytes: number;
  readonly sink: ResponseSink;
  /** Called exactly once. */
  readonly onEnd: (result: AttemptResult) => void;
}

/** Verifies the response of one attempt. */
export class ResponseVerifier implements OriginAttemptHandlers {
  readonly #request: OriginAttemptRequest;
  readonly #maxBufferedBytes: number;
  readonly #sink: ResponseSink;
  readonly #onEnd: (result: AttemptResult) => void;
  #head: ResponseHead | undefined;
  #buffered: Buffer[] = [];
  #receivedBytes = 0;
  #isStreaming = false;
  #isEnded = false;

  constructor({ request, maxBufferedBytes, sink, onEnd }: ResponseVerifierOptions) {
    this.#request = request;
    this.#maxBufferedBytes = maxBufferedBytes;
    this.#sink = sink;
    this.#onEnd = onEnd;
  }

  /** Handles the head of the response. */
  onHead = (status: number, fields: HeaderFields): void => {
    if (this.#isEnded) return;
    const respondingInstance = fieldValue(fields, 'switchwheel-instance');
    if (respondingInstance !== this.#request.instance) {
      this.#distrust(
        `the answer names ${respondingInstance ?? 'no instance'}, not ${this.#request.instance}`,
      );
      return;
    }
    if (isDeclaredNotRun(status, fields)) {
      this.#finish({ outcome: { kind: 'notRun' }, response: undefined });
      return;
    }
    const length = fieldValue(fields, 'content-length');
    this.#head = {
      status,
      fields,
      digests: new DigestVerifier(fields),
      contentLength: length === undefined ? undefined : Number(length),
      isChunked: (fieldValue(fields, 'transfer-encoding') ?? '').toLowerCase().includes('chunked'),
    };
    if (hasNoBody(this.#request.method, status))
      this.#finish({
        outcome: this.#responded(status),
        response: { status, fields, body: Buffer.alloc(0) },
      });
  };

  /** Handles bytes of the body; calls `onReady` when more are accepted. */
  onChunk = (bytes: Buffer, onReady: () => void): void => {
    const head = this.#head;
    if (this.#isEnded || head === undefined) return;
    this.#receivedBytes += bytes.length;
    head.digests.update(bytes);
    if (this.#isStreaming) {
      this.#writeToSink([bytes], onReady);
      return;
    }
    this.#buffered.push(bytes);
    if (this.#receivedBytes <= this.#maxBufferedBytes) {
      onReady();
      return;
    }
    if (head.contentLength === undefined && !head.isChunked) {
      this.#distrust('neither a length nor an end is told');
      return;
    }
    this.#isStreaming = true;
    this.#sink.start(head.status, head.fields, head.contentLength);
    this.#writeToSink(this.#buffered.splice(0), onReady);
  };

  /** Handles the end of the response. */
  onEnd = (): void => {
    const head = this.#head;
    if (this.#isEnded) return;
    if (head === undefined) {
      this.#distrust('ended without a head');
      return;
    }
    const { status, fields, contentLength, isChunked, digests } = head;
    const digest = digests.verify();
    if (contentLength !== undefined && this.#receivedBytes !== contentLength)
      this.#distrust(`${this.#receivedBytes} bytes of ${contentLength}`);
    else if (digest === 'mismatch') this.#distrust('the digest does not fit');
    else if (contentLength === undefined && !isChunked && digest === 'absent')
      this.#distrust('neither a length nor an end is told');
    else
      this.#finish({
        outcome: this.#responded(status),
        response: this.#isStreaming
          ? undefined
          : { status, fields, body: Buffer.concat(this.#buffered) },
      });
  };

  /** Handles the failure of the attempt before the end of the response. */
  onFailed = (failure: AttemptFailure): void => {
    if (!failure.mayHaveBeenSent)
      this.#finish({ outcome: { kind: 'notSent', text: failure.text }, response: undefined });
    else if (failure.isTimeout)
      this.#finish({ outcome: { kind: 'timedOut' }, response: undefined });
    else this.#distrust(failure.text);
  };

  /** Ends the attempt as cancelled. */
  cancel(): void {
    this.#finish({ outcome: { kind: 'cancelled' }, response: undefined });
  }

  #responded(status: number): AttemptOutcome {
    return status >= 500 ? { kind: 'originError', status } : { kind: 'succeeded', status };
  }

  #distrust(text: string): void {
    this.#finish({ outcome: { kind: 'lost', text }, response: undefined });
  }

  #finish(result: AttemptResult): void {
    if (this.#isEnded) return;
    this.#isEnded = true;
    this.#onEnd(result);
  }

  /** Passes chunks to the sink, each one after it is ready for more. */
  #writeToSink(chunks: Buffer[], onReady: () => void): void {
    const next = (): void => {
      const chunk = chunks.shift();
      if (chunk === undefined) onReady();
      else if (!this.#isEnded && !this.#sink.write(chunk, next))
        this.#distrust('the caller is gone');
    };
    next();
  }
}
