/** Test origin that sends incomplete, surplus and malformed responses. */

import { type Server, type Socket, createServer } from 'node:net';

/** Behaviors for a single request; repeated entries are selected more often. */
export const originBehaviors = [
  'complete',
  'complete',
  'complete',
  'complete',
  'late',
  'surplus',
  'delayed surplus',
  'trailing garbage',
  'truncated',
  'other id',
  'unprocessed',
  'misleading status',
  'malformed response',
  'reset before running',
  'reset during response',
  'reset after running',
] as const;
/** Behavior of an origin for a single request; see `originBehaviors`. */
export type OriginBehavior = (typeof originBehaviors)[number];

/** A request that the origin ran. */
export interface HandledRequest {
  readonly id: string;
  readonly method: string;
  readonly body: string;
}

const headEnd = '\r\n\r\n';

const responseText = (id: string, body: string, status = '200 OK', extraHeaders = ''): string =>
  `HTTP/1.1 ${status}\r\nswitchwheel-id: ${id}\r\n${extraHeaders}content-length: ${body.length}${headEnd}${body}`;

/** Test origin that behaves according to `nextBehavior` and records the requests that it ran. */
export class MisbehavingOrigin {
  readonly handledRequests: HandledRequest[] = [];
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  readonly #nextBehavior: () => OriginBehavior;

  constructor(nextBehavior: () => OriginBehavior) {
    this.#nextBehavior = nextBehavior;
    this.#server = createServer((socket) => this.#accept(socket));
  }

  /** Listens on a free port; resolves with the address. */
  listen(): Promise<string> {
    return new Promise((resolve) => {
      this.#server.listen(0, '127.0.0.1', () => {
        const bound = this.#server.address();
        resolve(`127.0.0.1:${bound !== null && typeof bound === 'object' ? bound.port : 0}`);
      });
    });
  }

  /** Stops listening and destroys all connections. */
  close(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  #accept(socket: Socket): void {
    this.#sockets.add(socket);
    socket.on('error', () => undefined);
    socket.once('close', () => this.#sockets.delete(socket));
    let received = '';
    socket.on('data', (bytes: Buffer) => {
      received += bytes.toString('latin1');
      const end = received.indexOf(headEnd);
      if (end < 0) return;
      const length = Number(/content-length: (\d+)/i.exec(received)?.[1] ?? 0);
      const body = received.slice(end + headEnd.length);
      if (body.length < length) return;
      const head = received.slice(0, end);
      received = '';
      this.#serve(socket, head, body);
    });
  }

  #serve(socket: Socket, head: string, body: string): void {
    const id = /switchwheel-id: (\S+)/i.exec(head)?.[1] ?? '';
    const method = head.slice(0, head.indexOf(' '));
    const behavior = this.#nextBehavior();
    if (behavior === 'reset before running') {
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

const malformedResponse = `this is no answer${headEnd}`;

/** Sends the response of a behavior that runs the request. */
const respond = (
  socket: Socket,
  id: string,
  behavior: Exclude<OriginBehavior, 'reset before running' | 'unprocessed'>,
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
    case 'delayed surplus':
      socket.write(complete);
      setTimeout(() => socket.write(responseText(id, 'surplus')), 5);
      break;
    case 'trailing garbage':
      socket.write(`${complete}${malformedResponse}`);
      break;
    case 'truncated':
      socket.end(complete.slice(0, -3));
      break;
    case 'other id':
      socket.write(responseText('somebody', `body of ${id}`));
      break;
    case 'misleading status':
      socket.write(responseText(id, '', '429 Later'));
      break;
    case 'malformed response':
      socket.write(malformedResponse);
      break;
    case 'reset during response':
      socket.write(complete.slice(0, -3), () => socket.resetAndDestroy());
      break;
    case 'reset after running':
      setTimeout(() => socket.resetAndDestroy(), 5);
      break;
  }
};
