import { type Server, createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import type Koa from 'koa';
import type { Address } from '@switchwheel/types';
import { splitAddress } from '@switchwheel/transport';

/** How outside callers are held to time and size. */
export interface HttpServerLimits {
  readonly headersTimeoutMs: number;
  readonly requestTimeoutMs: number;
  readonly maxHeaderBytes: number;
}
export const defaultHttpServerLimits: HttpServerLimits = {
  headersTimeoutMs: 5000,
  requestTimeoutMs: 15_000,
  maxHeaderBytes: 16 * 1024,
};

/** An HTTP door for outside callers. */
export interface HttpServer {
  readonly server: Server;
  readonly port: () => number;
  /** Takes no new channels and ends those that are idle. */
  readonly stopAccepting: () => void;
}

/** Opens a door: slow, oversized and ambiguous requests get their 4xx and a closed channel from the HTTP library itself. */
export const startHttpServer = (
  app: Koa,
  at: Address,
  rules: HttpServerLimits = defaultHttpServerLimits,
): Promise<HttpServer> => {
  const handle = app.callback();
  const server = createServer(
    {
      maxHeaderSize: rules.maxHeaderBytes,
      headersTimeout: rules.headersTimeoutMs,
      requestTimeout: rules.requestTimeoutMs,
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
        stopAccepting: () => {
          server.close();
          server.closeIdleConnections();
        },
      });
    });
  });
};
