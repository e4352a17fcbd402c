/**
 * The clients' connections of an HTTP server: when each may be closed. A connection is never closed while a request that
 * was read on it has no complete response, in whatever order pipelined requests get theirs.
 */

import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';
import type { Socket } from 'node:net';

/** How much longer than announced an idle connection is kept: a request that is on its way still arrives. */
const keepAliveGraceMs = 1000;

/** One request of a connection, from its head to when its response is handed to the operating system. */
interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** How long the connection may be idle after this response, as its head announces. */
  readonly keepAliveMs: number;
  /** Called once: the response is handed over, or the connection closed before. */
  readonly onEnd: () => void;
}

interface Connection {
  readonly socket: Socket;
  /** Requests without a complete response, in the order in which they came. */
  readonly exchanges: Exchange[];
  /** A response was sent that is the last one of this connection. */
  isClosing: boolean;
  /** The response to a message that could not be read; it ends the connection. */
  errorResponse: string | undefined;
  /** Bytes that had been read when the last response was handed over. */
  bytesReadWhenIdle: number;
}

/** Tracks the connections of one server. */
export class ClientConnections {
  readonly #connections = new Map<Duplex, Connection>();
  #isClosing = false;

  /** Tracks a new connection until it closes. */
  add(socket: Socket): void {
    const connection: Connection = {
      socket,
      exchanges: [],
      isClosing: false,
      errorResponse: undefined,
      bytesReadWhenIdle: 0,
    };
    this.#connections.set(socket, connection);
    // The server does not report the close to a pipelined response that still waits for its turn.
    socket.once('close', () => {
      this.#connections.delete(socket);
      for (const exchange of connection.exchanges.splice(0)) exchange.onEnd();
    });
  }

  /** Begins an exchange with the head of a request; false if the connection's last response was sent already. */
  begin(
    request: IncomingMessage,
    response: ServerResponse,
    keepAliveMs: number,
    onEnd: () => void,
  ): boolean {
    const connection = this.#connections.get(request.socket);
    if (connection === undefined || connection.isClosing) return false;
    const exchange: Exchange = { request, response, keepAliveMs, onEnd };
    connection.exchanges.push(exchange);
    response.once('close', () => this.#onResponseClosed(connection, exchange));
    return true;
  }

  /** Whether the response to a request may announce that it is the last one: no request came behind it. */
  mayBeLast(request: IncomingMessage): boolean {
    const connection = this.#connections.get(request.socket);
    return connection === undefined || connection.exchanges.at(-1)?.request === request;
  }

  /** The response to a request announces that it is the last one. */
  markLast(request: IncomingMessage): void {
    const connection = this.#connections.get(request.socket);
    if (connection !== undefined) connection.isClosing = true;
  }

  /** Rejects a message that could not be read, after the responses to all requests before it. */
  rejectMalformed(socket: Duplex, errorResponse: string): void {
    const connection = this.#connections.get(socket);
    if (connection === undefined) {
      socket.destroy();
      return;
    }
    connection.errorResponse ??= errorResponse;
    this.#rejectInOrder(connection);
  }

  /** Closes idle connections at once, and the others when all their requests have responses. */
  close(): void {
    this.#isClosing = true;
    for (const connection of this.#connections.values())
      if (isIdle(connection)) connection.socket.destroy();
  }

  #onResponseClosed(connection: Connection, exchange: Exchange): void {
    const { exchanges, socket } = connection;
    const index = exchanges.indexOf(exchange);
    if (index < 0) return;
    exchanges.splice(index, 1);
    exchange.onEnd();
    connection.bytesReadWhenIdle = socket.bytesRead;
    if (socket.destroyed) return;
    if (connection.errorResponse !== undefined) {
      this.#rejectInOrder(connection);
      return;
    }
    if (exchanges.length > 0) return;
    if (this.#isClosing) socket.end();
    else if (!connection.isClosing) socket.setTimeout(exchange.keepAliveMs + keepAliveGraceMs);
  }

  #rejectInOrder(connection: Connection): void {
    const { exchanges, errorResponse, socket } = connection;
    // A request that was read in part is the one that is rejected.
    if (errorResponse === undefined || exchanges.some(({ request }) => request.complete)) return;
    connection.isClosing = true;
    if (socket.writable) socket.end(errorResponse);
    else socket.destroy();
  }
}

/** Whether no request is in progress, nor any part of one was read. */
const isIdle = (connection: Connection): boolean =>
  connection.exchanges.length === 0 && connection.socket.bytesRead === connection.bytesReadWhenIdle;
