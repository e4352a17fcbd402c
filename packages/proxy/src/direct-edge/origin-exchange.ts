/**
 * A request to an origin over HTTP/1.1 and its response. A response is accepted only if it is complete and carries the id
 * of its request and, if configured, the proof header; everything else is a failure. A failure states whether the request
 * may have reached the origin, which is impossible before the connection has opened.
 */

import { type Agent, type ClientRequest, type IncomingMessage, request } from 'node:http';
import type { Socket } from 'node:net';
import { type HeaderFields, splitAddress } from '@switchwheel/transport';
import type {
  AttemptHandlers,
  AttemptRequest,
  HeaderNames,
  OriginResponse,
} from '@switchwheel/routing';
import { fieldValue } from '@switchwheel/proxy-core';
import { headerFieldsOf } from '../http/header-fields.js';

const connectTimeoutMs = 300;
/** Lowest status of a final response; lower ones are interim or invalid. */
const minFinalStatus = 200;
const maxBodyBytes = 64 * 1024 * 1024;
const misdirectedRequestStatus = 421;
const emptyBody = Buffer.alloc(0);

/** Parameters of an exchange. */
export interface OriginExchangeOptions {
  readonly attempt: AttemptRequest;
  readonly handlers: AttemptHandlers;
  readonly headerNames: HeaderNames;
  /** Agent that keeps connections open, or false for a new connection. */
  readonly agent: Agent | false;
}

/** Sends a request on construction, and calls exactly one of the handlers once, unless it is cancelled before. */
export class OriginExchange {
  readonly #options: OriginExchangeOptions;
  readonly #request: ClientRequest;
  readonly #connectTimeout: NodeJS.Timeout;
  #socket: Socket | undefined;
  #response: IncomingMessage | undefined;
  #mayHaveReachedOrigin = false;
  #wasReset = false;
  #hasEnded = false;

  constructor(options: OriginExchangeOptions) {
    this.#options = options;
    const { attempt, agent } = options;
    this.#request = request({
      ...splitAddress(attempt.address),
      method: attempt.method,
      path: attempt.target,
      headers: headersOf(attempt),
      agent,
      setHost: false,
    });
    this.#connectTimeout = setTimeout(() => {
      if (!this.#mayHaveReachedOrigin) this.#fail('the connection did not open');
    }, connectTimeoutMs);
    this.#request.on('socket', (socket: Socket) => this.#onSocket(socket));
    this.#request.on('error', (error) => this.#onConnectionFailure(error.message));
    this.#request.on('close', () => this.#onConnectionFailure('the connection closed'));
    this.#request.on('response', (response) => this.#onResponse(response));
    this.#request.end(attempt.body.length > 0 ? attempt.body : undefined);
  }

  /** Cancels the request; no handler is called afterwards. */
  cancel(): void {
    if (this.#end()) this.#request.destroy();
  }

  #onSocket(socket: Socket): void {
    this.#socket = socket;
    // Must run before the listener of the HTTP client, which accepts a response without a length as complete.
    socket.prependListener('end', this.#onSocketEnd);
    if (!socket.connecting) {
      this.#mayHaveReachedOrigin = true;
      return;
    }
    socket.setNoDelay(true);
    socket.once('connect', () => {
      this.#mayHaveReachedOrigin = true;
    });
  }

  readonly #onSocketEnd = (): void => {
    this.#wasReset = this.#socket !== undefined && isReset(this.#socket);
  };

  /** Fails the exchange, unless the response is already complete. */
  #onConnectionFailure(text: string): void {
    if (this.#response?.complete !== true) this.#fail(text);
  }

  #onResponse(response: IncomingMessage): void {
    this.#response = response;
    const fields = headerFieldsOf(response);
    const failureReason = this.#headFailureReason(response.statusCode ?? 0, fields);
    if (failureReason === undefined) {
      this.#readBody(response, fields);
      return;
    }
    this.#fail(failureReason);
    response.socket.destroy();
  }

  /** Returns the reason to reject a response by its status and fields; undefined if there is none. */
  #headFailureReason(status: number, fields: HeaderFields): string | undefined {
    const { attempt, headerNames } = this.#options;
    const { requestId, originProof } = headerNames;
    if (fieldValue(fields, requestId) !== attempt.id) return 'an answer to another request';
    if (status < minFinalStatus) return 'a status that is no answer';
    const needsProof = status < 300 && originProof !== undefined;
    return needsProof && fieldValue(fields, originProof) === undefined
      ? 'a success without its proof'
      : undefined;
  }

  #readBody(response: IncomingMessage, fields: HeaderFields): void {
    const chunks: Buffer[] = [];
    let size = 0;
    response.on('data', (chunk: Buffer) => {
      chunks.push(chunk);
      size += chunk.length;
      if (size > maxBodyBytes) this.#fail('an answer that is too large');
    });
    response.on('error', (error) => this.#fail(error.message));
    response.on('aborted', () => this.#fail('the answer broke off'));
    response.on('end', () => {
      if (this.#isComplete(response, fields, size)) this.#succeed(response, fields, chunks);
      else this.#fail('the answer is not whole');
    });
  }

  #isComplete(response: IncomingMessage, fields: HeaderFields, size: number): boolean {
    if (!response.complete) return false;
    const { statusCode } = response;
    const hasNoBody =
      this.#options.attempt.method === 'HEAD' || statusCode === 204 || statusCode === 304;
    const announcedSize = fieldValue(fields, 'content-length');
    return hasNoBody || announcedSize === undefined || Number(announcedSize) === size;
  }

  #succeed(response: IncomingMessage, fields: HeaderFields, chunks: readonly Buffer[]): void {
    if (this.#wasReset && isDelimitedByClose(response)) {
      this.#fail('the connection was reset');
      return;
    }
    if (!this.#end()) return;
    this.#options.handlers.onResponse(this.#originResponse(response, fields, chunks));
  }

  #originResponse(
    { statusCode = 0 }: IncomingMessage,
    fields: HeaderFields,
    chunks: readonly Buffer[],
  ): OriginResponse {
    const { unprocessed } = this.#options.headerNames;
    return {
      status: statusCode,
      fields,
      body: chunks.length === 1 ? (chunks[0] ?? emptyBody) : Buffer.concat(chunks),
      isUnprocessed:
        statusCode === misdirectedRequestStatus || fieldValue(fields, unprocessed) !== undefined,
    };
  }

  #fail(text: string): void {
    if (!this.#end()) return;
    this.#request.destroy();
    this.#options.handlers.onFailure(this.#mayHaveReachedOrigin, text);
  }

  /** Ends the exchange; returns false if it had ended before. */
  #end(): boolean {
    if (this.#hasEnded) return false;
    this.#hasEnded = true;
    clearTimeout(this.#connectTimeout);
    this.#socket?.off('end', this.#onSocketEnd);
    return true;
  }
}

const headersOf = ({ method, fields, body }: AttemptRequest): string[] => {
  const headers = fields.flat();
  const usuallyHasNoBody = method === 'GET' || method === 'HEAD';
  if (!usuallyHasNoBody || body.length > 0) headers.push('Content-Length', String(body.length));
  return headers;
};

/**
 * Whether a connection that has just ended was reset. Node reports a reset that arrives together with the last bytes as
 * an orderly end. The peer's address, which must not have been read before, is unavailable only after a reset.
 */
const isReset = (socket: Socket): boolean => socket.remoteAddress === undefined;

/** Whether the end of a response is marked only by the close of its connection. */
const isDelimitedByClose = ({ headers }: IncomingMessage): boolean =>
  headers['content-length'] === undefined && headers['transfer-encoding'] === undefined;
