/** HTTP servers for clients outside the fleet, with limits on the duration and size of requests. */

import { type Server, createServer } from 'node:http';
import type Koa from 'koa';
import type { Address } from '@switchwheel/types';
import { splitAddress } from '@switchwheel/transport';

/** Limits on a request: times until the header and the whole request have arrived, and size of the header. */
export interface HttpServerLimits {
  readonly headersTimeoutMs: number;
  readonly requestTimeoutMs: number;
  readonly maxHeaderBytes: number;
}

/** Limits for servers that only receive small requests. */
export const defaultHttpServerLimits: HttpServerLimits = {
  headersTimeoutMs: 5000,
  requestTimeoutMs: 15_000,
  maxHeaderBytes: 16 * 1024,
};

const timeoutCheckIntervalMs = 1000;
const keepAliveTimeoutMs = 10_000;
const listenBacklog = 1024;

/** HTTP server that is listening. */
export interface HttpServer {
  readonly server: Server;
  /** Port that it is bound to; 0 once it is closed. */
  readonly port: () => number;
  /** Stops accepting connections and closes idle ones; requests in flight are completed. */
  readonly stopAccepting: () => void;
}

const statusLineOf = (errorCode: string | undefined): string => {
  switch (errorCode) {
    case 'HPE_HEADER_OVERFLOW':
      return '431 Request Header Fields Too Large';
    case 'ERR_HTTP_REQUEST_TIMEOUT':
      return '408 Request Timeout';
    default:
      return '400 Bad Request';
  }
};

const malformedResponse = (errorCode: string | undefined): string =>
  `HTTP/1.1 ${statusLineOf(errorCode)}\r\nconnection: close\r\ncontent-type: application/json\r\n\r\n{"kind":"malformed"}\n`;

const createLimitedServer = (app: Koa, limits: HttpServerLimits): Server => {
  const handle = app.callback();
  const server = createServer(
    {
      maxHeaderSize: limits.maxHeaderBytes,
      headersTimeout: limits.headersTimeoutMs,
      requestTimeout: limits.requestTimeoutMs,
      connectionsCheckingInterval: timeoutCheckIntervalMs,
      keepAliveTimeout: keepAliveTimeoutMs,
      insecureHTTPParser: false,
      requireHostHeader: true,
    },
    (request, response) => {
      void handle(request, response);
    },
  );
  server.on('clientError', (error: Error & { code?: string }, socket) => {
    if (socket.writable) socket.end(malformedResponse(error.code));
    else socket.destroy();
  });
  return server;
};

const boundPort = (server: Server): number => {
  const bound = server.address();
  return bound !== null && typeof bound === 'object' ? bound.port : 0;
};

/**
 * Starts a server; rejects if the address can't be bound. Slow, oversized and malformed requests get a 4xx
 * response and a closed connection without reaching the app.
 */
export const startHttpServer = (
  app: Koa,
  address: Address,
  limits: HttpServerLimits = defaultHttpServerLimits,
): Promise<HttpServer> => {
  const server = createLimitedServer(app, limits);
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen({ ...splitAddress(address), backlog: listenBacklog }, () => {
      server.off('error', reject);
      resolve({
        server,
        port: () => boundPort(server),
        stopAccepting: () => {
          server.close();
          server.closeIdleConnections();
        },
      });
    });
  });
};
