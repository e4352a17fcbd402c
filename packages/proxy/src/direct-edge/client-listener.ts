/**
 * HTTP server for the clients of an edge without shields: reads requests with their bodies and passes them to the router.
 * `ClientConnections` decides when a connection may be closed, `ResponseWriter` writes the responses.
 */

import { type IncomingMessage, type Server, type ServerResponse, createServer } from 'node:http';
import { Server as NetServer } from 'node:net';
import { type Address, increment } from '@switchwheel/types';
import { type HeaderFields, splitAddress } from '@switchwheel/transport';
import type { EdgeRouter, HeaderNames, IncomingRequest } from '@switchwheel/routing';
import { fieldValue } from '@switchwheel/proxy-core';
import type { ClientLimits } from '@switchwheel/configuration';
import {
  ByteBudget,
  type ByteBudgetLimits,
  type HeldBody,
  readBudgetedBody,
} from '@switchwheel/runtime';
import { headerFieldsOf } from '../http/header-fields.js';
import { ClientConnections } from './client-connections.js';
import { ResponseWriter } from './response-writer.js';

const noBody: HeldBody = { bytes: Buffer.alloc(0), release: () => undefined };
const connectionBacklog = 1024;
/** Limit until a configuration is applied. */
const defaultMaxBodyBytes = 1024 * 1024;
/** Part of a client's time for which its body may wait for memory; the rest is left to send it, or to try elsewhere. */
const bodyWaitShare = 0.75;
/** Time for which a body may wait if its client doesn't say how long it waits. */
const defaultBodyWaitMs = 3000;
const bodyRetryMs = 300;
const serverOptions = {
  keepAliveTimeout: 15_000,
  headersTimeout: 5000,
  requestTimeout: 30_000,
  connectionsCheckingInterval: 1000,
  maxHeaderSize: 64 * 1024,
  noDelay: true,
  requireHostHeader: true,
};

/** Shutdown state of the edge, read for each response. */
export interface ClientListenerOptions {
  /** Whether responses ask clients to close their connections. */
  readonly isClosing: () => boolean;
  /** Memory for the bodies of requests. */
  readonly bodyMemory: ByteBudgetLimits;
}

/** A request from its head to its response; `cancel` cancels it at the router. */
interface ClientExchange {
  hasEnded: boolean;
  cancel: () => void;
  body: HeldBody;
}

/** Accepts client connections and requests. */
export class ClientListener {
  readonly #router: EdgeRouter;
  readonly #headerNames: HeaderNames;
  readonly #server: Server;
  readonly #connections = new ClientConnections();
  readonly #writer: ResponseWriter;
  /** Memory that the bodies of requests hold. */
  readonly bodyBudget: ByteBudget;
  #maxBodyBytes = defaultMaxBodyBytes;
  /** Number of requests whose head was read and that have no complete response yet. */
  openRequests = 0;

  constructor(router: EdgeRouter, headerNames: HeaderNames, options: ClientListenerOptions) {
    this.#router = router;
    this.#headerNames = headerNames;
    this.#writer = new ResponseWriter(headerNames, this.#connections, options.isClosing);
    this.bodyBudget = new ByteBudget(options.bodyMemory);
    this.#server = createServer(serverOptions, (request, response) => {
      void this.#handleRequest(request, response);
    });
    this.#server.on('connection', (socket) => this.#connections.add(socket));
    this.#server.on('clientError', (error: Error & { code?: string }, socket) => {
      if (error.code === 'ECONNRESET') socket.destroy();
      else this.#connections.rejectMalformed(socket, parseErrorResponse(error.code));
    });
  }

  /** Listens on an address; rejects if the address is not available. */
  listen(address: Address): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen({ ...splitAddress(address), backlog: connectionBacklog }, () => {
        this.#server.off('error', reject);
        resolve();
      });
    });
  }

  /** Applies a configuration's limits for clients. */
  applyLimits(limits: ClientLimits): void {
    this.#maxBodyBytes = limits.bodyBytes;
    this.#server.keepAliveTimeout = limits.idleMs;
    this.#server.headersTimeout = limits.headerMs;
  }

  /**
   * Stops accepting connections, and closes open ones once all requests read on them have responses. `close` of the HTTP
   * server would truncate responses that are still being written to slow clients.
   */
  stopAccepting(): void {
    NetServer.prototype.close.call(this.#server);
    this.#connections.close();
  }

  /** Closes all connections immediately, including those with a response in progress. */
  closeAllConnections(): void {
    this.#server.closeAllConnections();
  }

  async #handleRequest(message: IncomingMessage, response: ServerResponse): Promise<void> {
    const exchange: ClientExchange = { hasEnded: false, cancel: () => undefined, body: noBody };
    const onEnd = (): void => {
      exchange.hasEnded = true;
      this.openRequests -= 1;
      if (!response.writableFinished) exchange.cancel();
      exchange.body.release();
    };
    if (!this.#connections.begin(message, response, this.#server.keepAliveTimeout, onEnd)) return;
    this.openRequests += 1;
    const fields = headerFieldsOf(message);
    const id = fieldValue(fields, this.#headerNames.requestId) ?? '';
    const timeoutMs = this.#timeoutMsOf(fields);
    const body = hasBody(message) ? await this.#readBody(message, response, id, timeoutMs) : noBody;
    if (body === undefined) return;
    if (exchange.hasEnded) {
      body.release();
      return;
    }
    exchange.body = body;
    const request = this.#requestOf(message, id, fields, body.bytes, timeoutMs);
    exchange.cancel = this.#router.serve(request, (reply) =>
      this.#writer.sendReply(response, request, reply),
    );
  }

  #requestOf(
    message: IncomingMessage,
    id: string,
    fields: HeaderFields,
    body: Buffer,
    timeoutMs: number | undefined,
  ): IncomingRequest {
    return {
      id,
      method: message.method ?? 'GET',
      host: (message.headers.host ?? '').toLowerCase(),
      target: message.url ?? '/',
      fields,
      body,
      timeoutMs,
    };
  }

  /** Time that the client waits for a response; undefined if it sent none. */
  #timeoutMsOf(fields: HeaderFields): number | undefined {
    const timeLeftMs = Number(fieldValue(fields, this.#headerNames.timeLeftMs));
    return Number.isFinite(timeLeftMs) && timeLeftMs > 0 ? timeLeftMs : undefined;
  }

  /** Reads the body; returns undefined after sending an error response if it can't be read. */
  async #readBody(
    message: IncomingMessage,
    response: ServerResponse,
    id: string,
    timeoutMs: number | undefined,
  ): Promise<HeldBody | undefined> {
    const result = await readBudgetedBody(message, {
      maxBytes: this.#maxBodyBytes,
      budget: this.bodyBudget,
      maxWaitMs: timeoutMs === undefined ? defaultBodyWaitMs : timeoutMs * bodyWaitShare,
    });
    if (result.isOk) return result.value;
    const { kind: errorKind, text } = result.error;
    const isRejected = errorKind === 'rejected';
    if (isRejected) increment(this.#router.counts, 'bodies_rejected');
    // Reads and discards the rest, so that the connection stays usable.
    if (isRejected) message.resume();
    this.#writer.sendError(response, id, {
      errorKind,
      text,
      retryAfterMs: isRejected ? bodyRetryMs : 0,
      isLast: !isRejected,
    });
    return undefined;
  }
}

const hasBody = ({ headers }: IncomingMessage): boolean =>
  headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;

/** Returns the response to a malformed message for an error code of the HTTP parser. */
const parseErrorResponse = (code: string | undefined): string => {
  const status =
    code === 'HPE_HEADER_OVERFLOW'
      ? '431 Request Header Fields Too Large'
      : code === 'ERR_HTTP_REQUEST_TIMEOUT'
        ? '408 Request Timeout'
        : '400 Bad Request';
  return `HTTP/1.1 ${status}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`;
};
