/**
 * Client connections of an HTTP server; decides when each may be closed. A connection is never closed while a request
 * that was read on it has no complete response, whatever the order in which pipelined requests are answered.
 */

import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';
import type { Socket } from 'node:net';

/** Time that an idle connection is kept beyond the announced timeout, for requests already on their way. */
const keepAliveGraceMs = 1000;

/** A request and its response, from the request head until the response is passed to the operating system. */
interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** Idle timeout announced with this response. */
  readonly keepAliveMs: number;
  /** Called once, when the response is passed on or the connection closes before. */
  readonly onEnd: () => void;
}

interface Connection {
  readonly socket: Socket;
  /** Requests without a complete response, in order of arrival. */
  readonly exchanges: Exchange[];
  /** Whether the last response of this connection was sent. */
  isClosing: boolean;
  /** Response to a malformed message; the connection closes after it. */
  errorResponse: string | undefined;
  /** Value of `bytesRead` when the last response was passed on. */
  bytesReadWhenIdle: number;
}

/** Tracks the client connections of one server. */
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
    // The server emits no 'close' on a pipelined response that is still queued behind another.
    socket.once('close', () => {
      this.#connections.delete(socket);
      for (const exchange of connection.exchanges.splice(0)) exchange.onEnd();
    });
  }

  /** Starts an exchange with the head of a request; returns false if the connection's last response was already sent. */
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

  /** Whether the response to a request may be the last of its connection, as no request was read after it. */
  mayBeLast(request: IncomingMessage): boolean {
    const connection = this.#connections.get(request.socket);
    return connection === undefined || connection.exchanges.at(-1)?.request === request;
  }

  /** Marks the response to a request as the last of its connection. */
  markLast(request: IncomingMessage): void {
    const connection = this.#connections.get(request.socket);
    if (connection !== undefined) connection.isClosing = true;
  }

  /** Rejects a malformed message after the responses to all requests before it. */
  rejectMalformed(socket: Duplex, errorResponse: string): void {
    const connection = this.#connections.get(socket);
    if (connection === undefined) {
      socket.destroy();
      return;
    }
    connection.errorResponse ??= errorResponse;
    this.#rejectInOrder(connection);
  }

  /** Closes idle connections immediately, and the others once all their requests have responses. */
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
    // An incomplete request is the one being rejected, so only complete requests are waited for.
    if (errorResponse === undefined || exchanges.some(({ request }) => request.complete)) return;
    connection.isClosing = true;
    if (socket.writable) socket.end(errorResponse);
    else socket.destroy();
  }
}

/** Whether no request is in progress and no part of a new one has been read. */
const isIdle = (connection: Connection): boolean =>
  connection.exchanges.length === 0 && connection.socket.bytesRead === connection.bytesReadWhenIdle;
