import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';
import type { Socket } from 'node:net';

/** How much longer than it was told a client's connection may rest: a request on its way still arrives. */
const keepAliveMarginMs = 1000;

/** One request of a connection, from its head to when its answer is handed to the system. */
interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** How long the connection may rest after this answer, as its head tells. */
  readonly keepAliveMs: number;
  /** Called once: the answer is handed over, or the connection closed before. */
  readonly onEnd: () => void;
}

interface Connection {
  readonly socket: Socket;
  /** Requests that are not answered yet, in the order in which they came. */
  readonly exchanges: Exchange[];
  /** An answer was told that is the last one of this connection. */
  isClosing: boolean;
  /** What is written, and ends the connection, in the place of a message that could not be read. */
  errorResponse: string | undefined;
  /** Bytes that had been read when the last request was answered. */
  bytesReadWhenIdle: number;
}

/**
 * The clients' connections of a server. It decides when one may be closed: never while a request that was read has no
 * whole answer, in whatever order pipelined requests are answered.
 */
export class ClientConnections {
  readonly #connections = new Map<Duplex, Connection>();
  #isClosing = false;

  add(socket: Socket): void {
    const connection: Connection = {
      socket,
      exchanges: [],
      isClosing: false,
      errorResponse: undefined,
      bytesReadWhenIdle: 0,
    };
    this.#connections.set(socket, connection);
    // A pipelined answer that still waits for its turn does not hear from the server that the connection closed.
    socket.once('close', () => {
      this.#connections.delete(socket);
      for (const exchange of connection.exchanges.splice(0)) exchange.onEnd();
    });
  }

  /** Notes that the head of a request came. Gives false if its connection has told its last answer already. */
  begin(
    asked: IncomingMessage,
    answer: ServerResponse,
    restMs: number,
    ended: () => void,
  ): boolean {
    const connection = this.#connections.get(asked.socket);
    if (connection === undefined || connection.isClosing) return false;
    const exchange: Exchange = {
      request: asked,
      response: answer,
      keepAliveMs: restMs,
      onEnd: ended,
    };
    connection.exchanges.push(exchange);
    answer.once('close', () => this.#onResponseClosed(connection, exchange));
    return true;
  }

  /** Whether an answer may say that it is its connection's last one: no request came behind it. */
  mayBeLast(asked: IncomingMessage): boolean {
    const connection = this.#connections.get(asked.socket);
    return connection === undefined || connection.exchanges.at(-1)?.request === asked;
  }

  /** Notes that the answer to a request says that it is the last one. */
  markLast(asked: IncomingMessage): void {
    const connection = this.#connections.get(asked.socket);
    if (connection !== undefined) connection.isClosing = true;
  }

  /** Refuses a message that could not be read, after the answers to all requests before it. */
  rejectMalformed(socket: Duplex, refusal: string): void {
    const connection = this.#connections.get(socket);
    if (connection === undefined) {
      socket.destroy();
      return;
    }
    connection.errorResponse ??= refusal;
    this.#rejectInOrder(connection);
  }

  /** Closes what rests, and each other connection once all its requests are answered. */
  close(): void {
    this.#isClosing = true;
    for (const connection of this.#connections.values())
      if (isIdle(connection)) connection.socket.destroy();
  }

  #onResponseClosed(connection: Connection, exchange: Exchange): void {
    const { exchanges, socket } = connection;
    const at = exchanges.indexOf(exchange);
    if (at < 0) return;
    exchanges.splice(at, 1);
    exchange.onEnd();
    connection.bytesReadWhenIdle = socket.bytesRead;
    if (socket.destroyed) return;
    if (connection.errorResponse !== undefined) {
      this.#rejectInOrder(connection);
      return;
    }
    if (exchanges.length > 0) return;
    if (this.#isClosing) socket.end();
    else if (!connection.isClosing) socket.setTimeout(exchange.keepAliveMs + keepAliveMarginMs);
  }

  #rejectInOrder(connection: Connection): void {
    const { exchanges, errorResponse, socket } = connection;
    // A request that was read in part is the one that is refused.
    if (errorResponse === undefined || exchanges.some((one) => one.request.complete)) return;
    connection.isClosing = true;
    if (socket.writable) socket.end(errorResponse);
    else socket.destroy();
  }
}

/** Whether no request is under way, nor any part of one was read. */
const isIdle = (connection: Connection): boolean =>
  connection.exchanges.length === 0 && connection.socket.bytesRead === connection.bytesReadWhenIdle;
