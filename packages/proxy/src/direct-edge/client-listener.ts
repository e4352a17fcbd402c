import { type IncomingMessage, type Server, type ServerResponse, createServer } from 'node:http';
import { Server as NetServer } from 'node:net';
import rangeParser from 'range-parser';
import { type Address, type ErrorKind, errorResponseFor as tellingOf } from '@switchwheel/types';
import { type HeaderFields, splitAddress } from '@switchwheel/transport';
import type { IncomingRequest, EdgeRouter, ClientReply, HeaderNames } from '@switchwheel/routing';
import { type CacheEntry, fieldValue, forwardableFields } from '@switchwheel/proxy-core';
import type { ClientLimits } from '@switchwheel/configuration';
import { readBody } from '@switchwheel/runtime';
import { ClientConnections } from './client-connections.js';

const headerFieldsOf = (asked: IncomingMessage): HeaderFields => {
  const out: HeaderFields = [];
  const raw = asked.rawHeaders;
  for (let at = 0; at + 1 < raw.length; at += 2)
    out.push([(raw[at] ?? '').toLowerCase(), raw[at + 1] ?? '']);
  return out;
};

const statusOf = (fault: ErrorKind): number => tellingOf(fault).status;
const empty = Buffer.alloc(0);

/** What a client is told whose message could not be read, by the HTTP parser's code. */
const parseErrorResponse = (code: string | undefined): string => {
  const status =
    code === 'HPE_HEADER_OVERFLOW'
      ? '431 Request Header Fields Too Large'
      : code === 'ERR_HTTP_REQUEST_TIMEOUT'
        ? '408 Request Timeout'
        : '400 Bad Request';
  return `HTTP/1.1 ${status}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`;
};

/** How the door is held. */
export interface ListenerState {
  /** Callers are told to come back on another connection. */
  readonly isClosing: () => boolean;
}

/** The door for callers of an edge that sends straight to origins. */
export class ClientListener {
  readonly #router: EdgeRouter;
  readonly #headerNames: HeaderNames;
  readonly #state: ListenerState;
  readonly #server: Server;
  readonly #connections = new ClientConnections();
  #maxBodyBytes = 1024 * 1024;
  /** Requests that were read and are not answered yet. */
  openRequests = 0;

  constructor(line: EdgeRouter, words: HeaderNames, state: ListenerState) {
    this.#router = line;
    this.#headerNames = words;
    this.#state = state;
    this.#server = createServer(
      {
        keepAliveTimeout: 15_000,
        headersTimeout: 5000,
        requestTimeout: 30_000,
        connectionsCheckingInterval: 1000,
        maxHeaderSize: 64 * 1024,
        noDelay: true,
        requireHostHeader: true,
      },
      (asked, answer) => {
        void this.#handleRequest(asked, answer);
      },
    );
    this.#server.on('connection', (socket) => this.#connections.add(socket));
    this.#server.on('clientError', (fault: Error & { code?: string }, socket) => {
      if (fault.code === 'ECONNRESET') socket.destroy();
      else this.#connections.rejectMalformed(socket, parseErrorResponse(fault.code));
    });
  }

  listen(at: Address): Promise<void> {
    return new Promise((done, fail) => {
      this.#server.once('error', fail);
      this.#server.listen({ ...splitAddress(at), backlog: 1024 }, () => {
        this.#server.off('error', fail);
        done();
      });
    });
  }

  /** Takes over what a description says callers may do. */
  applyLimits(limits: ClientLimits): void {
    this.#maxBodyBytes = limits.bodyBytes;
    this.#server.keepAliveTimeout = limits.idleMs;
    this.#server.headersTimeout = limits.headerMs;
  }

  /**
   * Takes no new connections, and closes the others as soon as what was read on them is answered. The HTTP server's own
   * `close` would cut answers that are decided but not yet written out to a slow client.
   */
  stopAccepting(): void {
    NetServer.prototype.close.call(this.#server);
    this.#connections.close();
  }

  /** Cuts all connections. */
  closeAllConnections(): void {
    this.#server.closeAllConnections();
  }

  async #handleRequest(asked: IncomingMessage, answer: ServerResponse): Promise<void> {
    const request = { ended: false, leave: (): void => undefined };
    const end = (): void => {
      request.ended = true;
      this.openRequests -= 1;
      if (!answer.writableFinished) request.leave();
    };
    if (!this.#connections.begin(asked, answer, this.#server.keepAliveTimeout, end)) return;
    this.openRequests += 1;
    const fields = headerFieldsOf(asked);
    const id = fieldValue(fields, this.#headerNames.requestId) ?? '';
    const body =
      asked.headers['content-length'] === undefined &&
      asked.headers['transfer-encoding'] === undefined
        ? empty
        : await this.#readBody(asked, answer, id);
    if (body === undefined || request.ended) return;
    const left = Number(fieldValue(fields, this.#headerNames.timeLeftMs));
    const call: IncomingRequest = {
      id,
      method: asked.method ?? 'GET',
      host: (asked.headers.host ?? '').toLowerCase(),
      target: asked.url ?? '/',
      fields,
      body,
      timeoutMs: Number.isFinite(left) && left > 0 ? left : undefined,
    };
    request.leave = this.#router.serve(call, (word) => this.#sendReply(answer, call, word));
  }

  async #readBody(
    asked: IncomingMessage,
    answer: ServerResponse,
    id: string,
  ): Promise<Buffer | undefined> {
    const read = await readBody(asked, this.#maxBodyBytes);
    if (read.isOk) return read.value;
    this.#sendError(answer, id, read.error.kind, read.error.text, 0, true);
    return undefined;
  }

  #sendReply(answer: ServerResponse, call: IncomingRequest, word: ClientReply): void {
    if (answer.destroyed || answer.headersSent) return;
    switch (word.kind) {
      case 'failure':
        this.#sendError(answer, call.id, word.errorKind, word.text, word.retryAfterMs);
        break;
      case 'cached':
        this.#sendCached(answer, call, word.entry);
        break;
      case 'response':
        this.#send(
          answer,
          call,
          word.response.status,
          word.response.fields,
          word.response.body,
          [],
        );
        break;
    }
  }

  #sendError(
    answer: ServerResponse,
    id: string,
    kind: ErrorKind,
    text: string,
    retryMs: number,
    last = false,
  ): void {
    const body = Buffer.from(JSON.stringify({ kind, text }));
    const head: string[] = [
      'content-type',
      'application/json',
      'content-length',
      String(body.length),
      'cache-control',
      'no-store',
    ];
    if (id !== '') head.push(this.#headerNames.requestId, id);
    const status = statusOf(kind);
    if (status === 503 || retryMs > 0)
      head.push('retry-after', String(Math.max(0.001, Math.round(retryMs) / 1000)));
    this.#write(answer, status, head, body, last);
  }

  #sendCached(answer: ServerResponse, call: IncomingRequest, entry: CacheEntry): void {
    const tag = fieldValue(entry.fields, 'etag');
    const asked = fieldValue(call.fields, 'if-none-match');
    if (
      asked !== undefined &&
      tag !== undefined &&
      (asked.trim() === tag || asked.trim() === '*')
    ) {
      this.#send(answer, call, 304, entry.fields, empty, ['content-length']);
      return;
    }
    const range = fieldValue(call.fields, 'range');
    const condition = fieldValue(call.fields, 'if-range');
    if (
      range === undefined ||
      call.method !== 'GET' ||
      (condition !== undefined && condition !== tag)
    ) {
      this.#send(answer, call, entry.status, entry.fields, entry.body, []);
      return;
    }
    const read = rangeParser(entry.body.length, range, { combine: false });
    if (read === -1) {
      this.#send(
        answer,
        call,
        416,
        [...entry.fields, ['content-range', `bytes */${entry.body.length}`]],
        empty,
        ['content-length'],
      );
      return;
    }
    const one = read === -2 || read.type !== 'bytes' || read.length !== 1 ? undefined : read[0];
    if (one === undefined) this.#send(answer, call, entry.status, entry.fields, entry.body, []);
    else
      this.#send(
        answer,
        call,
        206,
        [...entry.fields, ['content-range', `bytes ${one.start}-${one.end}/${entry.body.length}`]],
        entry.body.subarray(one.start, one.end + 1),
        [],
      );
  }

  #send(
    answer: ServerResponse,
    call: IncomingRequest,
    status: number,
    fields: HeaderFields,
    body: Buffer,
    less: readonly string[],
  ): void {
    const head: string[] = [];
    for (const [name, value] of forwardableFields(fields, [
      this.#headerNames.requestId,
      'content-length',
      ...less,
    ]))
      head.push(name, value);
    if (call.id !== '') head.push(this.#headerNames.requestId, call.id);
    if (status !== 304 && status !== 204) {
      const length =
        call.method === 'HEAD'
          ? (fieldValue(fields, 'content-length') ?? String(body.length))
          : String(body.length);
      head.push('content-length', length);
    }
    this.#write(answer, status, head, body, false);
  }

  #write(
    answer: ServerResponse,
    status: number,
    head: string[],
    body: Buffer,
    last: boolean,
  ): void {
    if (last || (this.#state.isClosing() && this.#connections.mayBeLast(answer.req))) {
      head.push('connection', 'close');
      this.#connections.markLast(answer.req);
    }
    answer.writeHead(status, head);
    answer.end(body.length > 0 ? body : undefined);
  }
}
