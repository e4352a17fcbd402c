/**
 * One request to an origin over HTTP/1.1 and its response. A response counts only if it is complete, bears the id of its
 * request and, where origins give one, its proof; everything else is a failure. A failure says whether the request may
 * have reached the origin: it can't have before the connection was open.
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

/** How long a connection may take to open. */
const connectTimeoutMs = 300;
/** The least status of a final response; lower ones are interim responses or none at all. */
const minFinalStatus = 200;
const maxBodyBytes = 64 * 1024 * 1024;
const misdirectedRequestStatus = 421;
const emptyBody = Buffer.alloc(0);

/** What an exchange is made of. */
export interface OriginExchangeOptions {
  readonly attempt: AttemptRequest;
  readonly handlers: AttemptHandlers;
  readonly headerNames: HeaderNames;
  /** False for a connection of its own. */
  readonly agent: Agent | false;
}

/** Sends a request when it is made, and calls one of the handlers once unless it is cancelled before. */
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

  /** Gives the request up; no handler is called any more. */
  cancel(): void {
    if (this.#end()) this.#request.destroy();
  }

  #onSocket(socket: Socket): void {
    this.#socket = socket;
    // Before the HTTP client hears of the end, and takes a response without a length for complete.
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

  /** What happens behind a complete response does not spoil it. */
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

  /** Why a response can't be one to this request, by its status and fields. */
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

  /** Whether this is the end: everything behind it is ignored. */
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
 * Whether a connection that has just ended was reset. The event loop reports a reset that comes together with the last
 * bytes as an orderly end; the peer's address, asked for now for the first time, is gone only after a reset.
 */
const isReset = (socket: Socket): boolean => socket.remoteAddress === undefined;

/** Whether only the end of its connection shows where a response ends. */
const isDelimitedByClose = ({ headers }: IncomingMessage): boolean =>
  headers['content-length'] === undefined && headers['transfer-encoding'] === undefined;
