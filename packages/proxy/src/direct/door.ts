import { type IncomingMessage, type Server, type ServerResponse, createServer } from 'node:http';
import { Server as NetServer } from 'node:net';
import rangeParser from 'range-parser';
import { type Address, type ErrorKind, responseFor as tellingOf } from '@switchwheel/types';
import { type Fields, splitAddress } from '@switchwheel/transport';
import type { Call, DirectLine, Word, Words } from '@switchwheel/routing';
import { type Entry, fieldOf, handOn } from '@switchwheel/proxy-core';
import type { Limits } from '@switchwheel/configuration';
import { readBody } from '@switchwheel/runtime';
import { ClientConnections } from './connections.js';

const fieldsOf = (asked: IncomingMessage): Fields => {
  const out: Fields = [];
  const raw = asked.rawHeaders;
  for (let at = 0; at + 1 < raw.length; at += 2)
    out.push([(raw[at] ?? '').toLowerCase(), raw[at + 1] ?? '']);
  return out;
};

const kindOf = (fault: ErrorKind): number => tellingOf(fault).status;
const empty = Buffer.alloc(0);

/** What a client is told whose message could not be read, by the HTTP parser's code. */
const refusalOf = (code: string | undefined): string => {
  const status =
    code === 'HPE_HEADER_OVERFLOW'
      ? '431 Request Header Fields Too Large'
      : code === 'ERR_HTTP_REQUEST_TIMEOUT'
        ? '408 Request Timeout'
        : '400 Bad Request';
  return `HTTP/1.1 ${status}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`;
};

/** How the door is held. */
export interface DoorState {
  /** Callers are told to come back on another connection. */
  readonly closing: () => boolean;
}

/** The door for callers of an edge that sends straight to origins. */
export class DirectDoor {
  readonly #line: DirectLine;
  readonly #words: Words;
  readonly #state: DoorState;
  readonly #server: Server;
  readonly #connections = new ClientConnections();
  #bodyBytes = 1024 * 1024;
  /** Requests that were read and are not answered yet. */
  open = 0;

  constructor(line: DirectLine, words: Words, state: DoorState) {
    this.#line = line;
    this.#words = words;
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
        void this.#take(asked, answer);
      },
    );
    this.#server.on('connection', (socket) => this.#connections.add(socket));
    this.#server.on('clientError', (fault: Error & { code?: string }, socket) => {
      if (fault.code === 'ECONNRESET') socket.destroy();
      else this.#connections.refuse(socket, refusalOf(fault.code));
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
  hold(limits: Limits): void {
    this.#bodyBytes = limits.bodyBytes;
    this.#server.keepAliveTimeout = limits.idleMs;
    this.#server.headersTimeout = limits.headerMs;
  }

  /**
   * Takes no new connections, and closes the others as soon as what was read on them is answered. The HTTP server's own
   * `close` would cut answers that are decided but not yet written out to a slow client.
   */
  shut(): void {
    NetServer.prototype.close.call(this.#server);
    this.#connections.close();
  }

  /** Cuts all connections. */
  hang(): void {
    this.#server.closeAllConnections();
  }

  async #take(asked: IncomingMessage, answer: ServerResponse): Promise<void> {
    const request = { ended: false, leave: (): void => undefined };
    const end = (): void => {
      request.ended = true;
      this.open -= 1;
      if (!answer.writableFinished) request.leave();
    };
    if (!this.#connections.begin(asked, answer, this.#server.keepAliveTimeout, end)) return;
    this.open += 1;
    const fields = fieldsOf(asked);
    const id = fieldOf(fields, this.#words.id) ?? '';
    const body =
      asked.headers['content-length'] === undefined &&
      asked.headers['transfer-encoding'] === undefined
        ? empty
        : await this.#bodyOf(asked, answer, id);
    if (body === undefined || request.ended) return;
    const left = Number(fieldOf(fields, this.#words.timeLeft));
    const call: Call = {
      id,
      method: asked.method ?? 'GET',
      host: (asked.headers.host ?? '').toLowerCase(),
      target: asked.url ?? '/',
      fields,
      body,
      spanMs: Number.isFinite(left) && left > 0 ? left : undefined,
    };
    request.leave = this.#line.serve(call, (word) => this.#tell(answer, call, word));
  }

  async #bodyOf(
    asked: IncomingMessage,
    answer: ServerResponse,
    id: string,
  ): Promise<Buffer | undefined> {
    const read = await readBody(asked, this.#bodyBytes);
    if (read.isOk) return read.value;
    this.#fault(answer, id, read.error.kind, read.error.text, 0, true);
    return undefined;
  }

  #tell(answer: ServerResponse, call: Call, word: Word): void {
    if (answer.destroyed || answer.headersSent) return;
    switch (word.kind) {
      case 'fault':
        this.#fault(answer, call.id, word.fault, word.text, word.retryMs);
        break;
      case 'kept':
        this.#kept(answer, call, word.entry);
        break;
      case 'answer':
        this.#send(answer, call, word.answer.status, word.answer.fields, word.answer.body, []);
        break;
    }
  }

  #fault(
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
    if (id !== '') head.push(this.#words.id, id);
    const status = kindOf(kind);
    if (status === 503 || retryMs > 0)
      head.push('retry-after', String(Math.max(0.001, Math.round(retryMs) / 1000)));
    this.#write(answer, status, head, body, last);
  }

  #kept(answer: ServerResponse, call: Call, entry: Entry): void {
    const tag = fieldOf(entry.fields, 'etag');
    const asked = fieldOf(call.fields, 'if-none-match');
    if (
      asked !== undefined &&
      tag !== undefined &&
      (asked.trim() === tag || asked.trim() === '*')
    ) {
      this.#send(answer, call, 304, entry.fields, empty, ['content-length']);
      return;
    }
    const range = fieldOf(call.fields, 'range');
    const condition = fieldOf(call.fields, 'if-range');
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
    call: Call,
    status: number,
    fields: Fields,
    body: Buffer,
    less: readonly string[],
  ): void {
    const head: string[] = [];
    for (const [name, value] of handOn(fields, [this.#words.id, 'content-length', ...less]))
      head.push(name, value);
    if (call.id !== '') head.push(this.#words.id, call.id);
    if (status !== 304 && status !== 204) {
      const length =
        call.method === 'HEAD'
          ? (fieldOf(fields, 'content-length') ?? String(body.length))
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
    if (last || (this.#state.closing() && this.#connections.mayEnd(answer.req))) {
      head.push('connection', 'close');
      this.#connections.ends(answer.req);
    }
    answer.writeHead(status, head);
    answer.end(body.length > 0 ? body : undefined);
  }
}
