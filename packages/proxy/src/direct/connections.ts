import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';
import type { Socket } from 'node:net';

/** How much longer than it was told a client's connection may rest: a request on its way still arrives. */
const restMarginMs = 1000;

/** One request of a connection, from its head to when its answer is handed to the system. */
interface Exchange {
  readonly asked: IncomingMessage;
  readonly answer: ServerResponse;
  /** How long the connection may rest after this answer, as its head tells. */
  readonly restMs: number;
  /** Called once: the answer is handed over, or the connection closed before. */
  readonly ended: () => void;
}

interface Connection {
  readonly socket: Socket;
  /** Requests that are not answered yet, in the order in which they came. */
  readonly exchanges: Exchange[];
  /** An answer was told that is the last one of this connection. */
  ending: boolean;
  /** What is written, and ends the connection, in the place of a message that could not be read. */
  refusal: string | undefined;
  /** Bytes that had been read when the last request was answered. */
  bytesAtRest: number;
}

/**
 * The clients' connections of a server. It decides when one may be closed: never while a request that was read has no
 * whole answer, in whatever order pipelined requests are answered.
 */
export class ClientConnections {
  readonly #connections = new Map<Duplex, Connection>();
  #closing = false;

  add(socket: Socket): void {
    const connection: Connection = {
      socket,
      exchanges: [],
      ending: false,
      refusal: undefined,
      bytesAtRest: 0,
    };
    this.#connections.set(socket, connection);
    // A pipelined answer that still waits for its turn does not hear from the server that the connection closed.
    socket.once('close', () => {
      this.#connections.delete(socket);
      for (const exchange of connection.exchanges.splice(0)) exchange.ended();
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
    if (connection === undefined || connection.ending) return false;
    const exchange: Exchange = { asked, answer, restMs, ended };
    connection.exchanges.push(exchange);
    answer.once('close', () => this.#answered(connection, exchange));
    return true;
  }

  /** Whether an answer may say that it is its connection's last one: no request came behind it. */
  mayEnd(asked: IncomingMessage): boolean {
    const connection = this.#connections.get(asked.socket);
    return connection === undefined || connection.exchanges.at(-1)?.asked === asked;
  }

  /** Notes that the answer to a request says that it is the last one. */
  ends(asked: IncomingMessage): void {
    const connection = this.#connections.get(asked.socket);
    if (connection !== undefined) connection.ending = true;
  }

  /** Refuses a message that could not be read, after the answers to all requests before it. */
  refuse(socket: Duplex, refusal: string): void {
    const connection = this.#connections.get(socket);
    if (connection === undefined) {
      socket.destroy();
      return;
    }
    connection.refusal ??= refusal;
    this.#refuseInTurn(connection);
  }

  /** Closes what rests, and each other connection once all its requests are answered. */
  close(): void {
    this.#closing = true;
    for (const connection of this.#connections.values())
      if (isResting(connection)) connection.socket.destroy();
  }

  #answered(connection: Connection, exchange: Exchange): void {
    const { exchanges, socket } = connection;
    const at = exchanges.indexOf(exchange);
    if (at < 0) return;
    exchanges.splice(at, 1);
    exchange.ended();
    connection.bytesAtRest = socket.bytesRead;
    if (socket.destroyed) return;
    if (connection.refusal !== undefined) {
      this.#refuseInTurn(connection);
      return;
    }
    if (exchanges.length > 0) return;
    if (this.#closing) socket.end();
    else if (!connection.ending) socket.setTimeout(exchange.restMs + restMarginMs);
  }

  #refuseInTurn(connection: Connection): void {
    const { exchanges, refusal, socket } = connection;
    // A request that was read in part is the one that is refused.
    if (refusal === undefined || exchanges.some((one) => one.asked.complete)) return;
    connection.ending = true;
    if (socket.writable) socket.end(refusal);
    else socket.destroy();
  }
}

/** Whether no request is under way, nor any part of one was read. */
const isResting = (connection: Connection): boolean =>
  connection.exchanges.length === 0 && connection.socket.bytesRead === connection.bytesAtRest;
