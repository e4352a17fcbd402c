import { type Server, createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import type Koa from 'koa';
import type { Address } from '@switchwheel/types';
import { splitAddress } from '@switchwheel/transport';

/** How outside callers are held to time and size. */
export interface DoorRules {
  readonly headersMs: number;
  readonly requestMs: number;
  readonly headerBytes: number;
}
export const plainRules: DoorRules = { headersMs: 5000, requestMs: 15_000, headerBytes: 16 * 1024 };

/** An HTTP door for outside callers. */
export interface Door {
  readonly server: Server;
  readonly port: () => number;
  /** Takes no new channels and ends those that are idle. */
  readonly shut: () => void;
}

/** Opens a door: slow, oversized and ambiguous requests get their 4xx and a closed channel from the HTTP library itself. */
export const openDoor = (app: Koa, at: Address, rules: DoorRules = plainRules): Promise<Door> => {
  const handle = app.callback();
  const server = createServer(
    {
      maxHeaderSize: rules.headerBytes,
      headersTimeout: rules.headersMs,
      requestTimeout: rules.requestMs,
      connectionsCheckingInterval: 1000,
      keepAliveTimeout: 10_000,
      insecureHTTPParser: false,
      requireHostHeader: true,
    },
    (request, response) => {
      void handle(request, response);
    },
  );
  server.on('clientError', (fault: Error & { code?: string }, socket) => {
    const status =
      fault.code === 'HPE_HEADER_OVERFLOW'
        ? '431 Request Header Fields Too Large'
        : fault.code === 'ERR_HTTP_REQUEST_TIMEOUT'
          ? '408 Request Timeout'
          : '400 Bad Request';
    if (socket.writable)
      socket.end(
        `HTTP/1.1 ${status}\r\nconnection: close\r\ncontent-type: application/json\r\n\r\n{"kind":"malformed"}\n`,
      );
    else socket.destroy();
  });
  return new Promise((done, fail) => {
    server.once('error', fail);
    server.listen({ ...splitAddress(at), backlog: 1024 }, () => {
      server.off('error', fail);
      const bound = (): AddressInfo | string | null => server.address();
      done({
        server,
        port: () => {
          const spot = bound();
          return spot !== null && typeof spot === 'object' ? spot.port : 0;
        },
        shut: () => {
          server.close();
          server.closeIdleConnections();
        },
      });
    });
  });
};
