/** Writes the replies of the router as HTTP responses: failures, cached objects with their conditions, responses of origins. */

import type { ServerResponse } from 'node:http';
import rangeParser from 'range-parser';
import { type ErrorKind, errorResponseFor } from '@switchwheel/types';
import type { HeaderFields } from '@switchwheel/transport';
import type { ClientReply, HeaderNames, IncomingRequest } from '@switchwheel/routing';
import { type CacheEntry, fieldValue, forwardableFields } from '@switchwheel/proxy-core';
import type { ClientConnections } from './client-connections.js';

const emptyBody = Buffer.alloc(0);
const noReplacedFields: readonly string[] = [];
const replacedContentLength: readonly string[] = ['content-length'];
const minRetryAfterSeconds = 0.001;

/** An error response that the edge makes itself. */
export interface ErrorReply {
  readonly errorKind: ErrorKind;
  readonly text: string;
  /** After how many milliseconds the client may try again; 0 for none, unless the status is 503. */
  readonly retryAfterMs: number;
  /** Whether the connection ends with this response. */
  readonly isLast?: boolean;
}

/** The writer of one listener. */
export class ResponseWriter {
  readonly #headerNames: HeaderNames;
  readonly #connections: ClientConnections;
  readonly #isClosing: () => boolean;

  /** While `isClosing` holds, clients are told to come back on another connection. */
  constructor(headerNames: HeaderNames, connections: ClientConnections, isClosing: () => boolean) {
    this.#headerNames = headerNames;
    this.#connections = connections;
    this.#isClosing = isClosing;
  }

  /** Writes the router's reply, unless the client has left or has a response already. */
  sendReply(response: ServerResponse, request: IncomingRequest, reply: ClientReply): void {
    if (response.destroyed || response.headersSent) return;
    switch (reply.kind) {
      case 'failure':
        this.sendError(response, request.id, reply);
        break;
      case 'cached':
        this.#sendCached(response, request, reply.entry);
        break;
      case 'response': {
        const { status, fields, body } = reply.response;
        this.#send(response, request, status, fields, body, noReplacedFields);
        break;
      }
    }
  }

  /** Writes an error as JSON; `requestId` is empty if the client gave none. */
  sendError(response: ServerResponse, requestId: string, error: ErrorReply): void {
    const { errorKind, text, retryAfterMs, isLast = false } = error;
    const body = Buffer.from(JSON.stringify({ kind: errorKind, text }));
    const head: string[] = [
      'content-type',
      'application/json',
      'content-length',
      String(body.length),
      'cache-control',
      'no-store',
    ];
    if (requestId !== '') head.push(this.#headerNames.requestId, requestId);
    const { status } = errorResponseFor(errorKind);
    if (status === 503 || retryAfterMs > 0) {
      const seconds = Math.max(minRetryAfterSeconds, Math.round(retryAfterMs) / 1000);
      head.push('retry-after', String(seconds));
    }
    this.#write(response, status, head, body, isLast);
  }

  /** RFC 9110, sections 13 and 14: If-None-Match, If-Range and a single byte range. */
  #sendCached(response: ServerResponse, request: IncomingRequest, entry: CacheEntry): void {
    if (isNotModified(request, entry)) {
      this.#send(response, request, 304, entry.fields, emptyBody, replacedContentLength);
      return;
    }
    const range = requestedRange(request, entry);
    if (range === undefined) {
      this.#send(response, request, entry.status, entry.fields, entry.body, noReplacedFields);
      return;
    }
    const size = entry.body.length;
    if (range === 'unsatisfiable') {
      const fields: HeaderFields = [...entry.fields, ['content-range', `bytes */${size}`]];
      this.#send(response, request, 416, fields, emptyBody, replacedContentLength);
      return;
    }
    const { start, end } = range;
    const fields: HeaderFields = [
      ...entry.fields,
      ['content-range', `bytes ${start}-${end}/${size}`],
    ];
    const body = entry.body.subarray(start, end + 1);
    this.#send(response, request, 206, fields, body, noReplacedFields);
  }

  #send(
    response: ServerResponse,
    request: IncomingRequest,
    status: number,
    fields: HeaderFields,
    body: Buffer,
    replacedFields: readonly string[],
  ): void {
    const { requestId } = this.#headerNames;
    const head: string[] = [];
    for (const [name, value] of forwardableFields(fields, [
      requestId,
      'content-length',
      ...replacedFields,
    ]))
      head.push(name, value);
    if (request.id !== '') head.push(requestId, request.id);
    if (status !== 304 && status !== 204) {
      const length =
        request.method === 'HEAD'
          ? (fieldValue(fields, 'content-length') ?? String(body.length))
          : String(body.length);
      head.push('content-length', length);
    }
    this.#write(response, status, head, body, false);
  }

  #write(
    response: ServerResponse,
    status: number,
    head: string[],
    body: Buffer,
    isLast: boolean,
  ): void {
    if (isLast || (this.#isClosing() && this.#connections.mayBeLast(response.req))) {
      head.push('connection', 'close');
      this.#connections.markLast(response.req);
    }
    response.writeHead(status, head);
    response.end(body.length > 0 ? body : undefined);
  }
}

const isNotModified = (request: IncomingRequest, entry: CacheEntry): boolean => {
  const tag = fieldValue(entry.fields, 'etag');
  const condition = fieldValue(request.fields, 'if-none-match');
  if (condition === undefined || tag === undefined) return false;
  return condition.trim() === tag || condition.trim() === '*';
};

/** The one byte range that a request asks for; undefined if the whole object is to be sent. */
const requestedRange = (
  request: IncomingRequest,
  entry: CacheEntry,
): { readonly start: number; readonly end: number } | 'unsatisfiable' | undefined => {
  const range = fieldValue(request.fields, 'range');
  const condition = fieldValue(request.fields, 'if-range');
  if (range === undefined || request.method !== 'GET') return undefined;
  if (condition !== undefined && condition !== fieldValue(entry.fields, 'etag')) return undefined;
  const ranges = rangeParser(entry.body.length, range, { combine: false });
  if (ranges === -1) return 'unsatisfiable';
  return ranges === -2 || ranges.type !== 'bytes' || ranges.length !== 1 ? undefined : ranges[0];
};
