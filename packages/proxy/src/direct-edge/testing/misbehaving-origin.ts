/** An origin for tests that misbehaves at the level of bytes. */

import { type Server, type Socket, createServer } from 'node:net';

/** What an origin does with one request; each is drawn as often as it stands here. */
export const originBehaviors = [
  'complete',
  'complete',
  'complete',
  'complete',
  'late',
  'surplus',
  'surplus later',
  'junk behind',
  'short',
  'other id',
  'unprocessed',
  'misleading status',
  'no response',
  'reset before',
  'reset amid',
  'reset after',
] as const;
/** One of the behaviors. */
export type OriginBehavior = (typeof originBehaviors)[number];

/** A request that an origin ran. */
export interface HandledRequest {
  readonly id: string;
  readonly method: string;
  readonly body: string;
}

const headEnd = '\r\n\r\n';

const responseText = (id: string, body: string, status = '200 OK', more = ''): string =>
  `HTTP/1.1 ${status}\r\nswitchwheel-id: ${id}\r\n${more}content-length: ${body.length}${headEnd}${body}`;

/** Misbehaves as it is told, and records the requests that it ran. */
export class MisbehavingOrigin {
  readonly handledRequests: HandledRequest[] = [];
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  readonly #nextBehavior: () => OriginBehavior;

  constructor(next: () => OriginBehavior) {
    this.#nextBehavior = next;
    this.#server = createServer((socket) => this.#accept(socket));
  }

  /** Listens on a free port; gives the address. */
  listen(): Promise<string> {
    return new Promise((done) => {
      this.#server.listen(0, '127.0.0.1', () => {
        const bound = this.#server.address();
        done(`127.0.0.1:${bound !== null && typeof bound === 'object' ? bound.port : 0}`);
      });
    });
  }

  /** Stops listening and cuts all connections. */
  close(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  #accept(socket: Socket): void {
    this.#sockets.add(socket);
    socket.on('error', () => undefined);
    socket.once('close', () => this.#sockets.delete(socket));
    let read = '';
    socket.on('data', (bytes: Buffer) => {
      read += bytes.toString('latin1');
      const end = read.indexOf(headEnd);
      if (end < 0) return;
      const length = Number(/content-length: (\d+)/i.exec(read)?.[1] ?? 0);
      const body = read.slice(end + headEnd.length);
      if (body.length < length) return;
      const head = read.slice(0, end);
      read = '';
      this.#serve(socket, head, body);
    });
  }

  #serve(socket: Socket, head: string, body: string): void {
    const id = /switchwheel-id: (\S+)/i.exec(head)?.[1] ?? '';
    const method = head.slice(0, head.indexOf(' '));
    const behavior = this.#nextBehavior();
    if (behavior === 'reset before') {
      socket.resetAndDestroy();
      return;
    }
    if (behavior === 'unprocessed') {
      socket.write(responseText(id, '', '503 Full', 'switchwheel-unrun: 1\r\n'));
      return;
    }
    this.handledRequests.push({ id, method, body });
    respond(socket, id, behavior);
  }
}

const noResponse = `this is no answer${headEnd}`;

/** Responds to a request that was run. */
const respond = (
  socket: Socket,
  id: string,
  behavior: Exclude<OriginBehavior, 'reset before' | 'unprocessed'>,
): void => {
  const complete = responseText(id, `body of ${id}`);
  switch (behavior) {
    case 'complete':
      socket.write(complete);
      break;
    case 'late':
      setTimeout(() => socket.write(complete), 150);
      break;
    case 'surplus':
      socket.write(complete + responseText(id, 'surplus'));
      break;
    case 'surplus later':
      socket.write(complete);
      setTimeout(() => socket.write(responseText(id, 'surplus')), 5);
      break;
    case 'junk behind':
      socket.write(`${complete}${noResponse}`);
      break;
    case 'short':
      socket.end(complete.slice(0, -3));
      break;
    case 'other id':
      socket.write(responseText('somebody', `body of ${id}`));
      break;
    case 'misleading status':
      socket.write(responseText(id, '', '429 Later'));
      break;
    case 'no response':
      socket.write(noResponse);
      break;
    case 'reset amid':
      socket.write(complete.slice(0, -3), () => socket.resetAndDestroy());
      break;
    case 'reset after':
      setTimeout(() => socket.resetAndDestroy(), 5);
      break;
  }
};
