/** HTTP server for the platform's readiness checks and metrics collection. */

import { type Server, createServer } from 'node:http';
import type { Address } from '@switchwheel/types';
import { splitAddress } from '@switchwheel/transport';
import { metricsContentType } from '@switchwheel/runtime';

const keepAliveTimeoutMs = 30_000;

/** Address, paths and data sources of a status server. */
export interface StatusServerOptions {
  readonly address: Address;
  readonly readinessPath: string;
  readonly metricsPath: string;
  readonly isReady: () => boolean;
  /** Returns the metrics in the Prometheus text format. */
  readonly metrics: () => string;
}

/** Starts the server; resolves once it listens. */
export const startStatusServer = async (options: StatusServerOptions): Promise<Server> => {
  const { address, readinessPath, metricsPath, isReady, metrics } = options;
  const server = createServer({ keepAliveTimeout: keepAliveTimeoutMs }, (request, response) => {
    const path = request.method === 'GET' ? request.url : undefined;
    if (path === metricsPath) {
      response.writeHead(200, { 'content-type': metricsContentType }).end(metrics());
      return;
    }
    const status = path !== readinessPath ? 404 : isReady() ? 200 : 503;
    response.writeHead(status, ['content-length', '0']).end();
  });
  await new Promise<void>((resolve) => {
    server.listen(splitAddress(address), resolve);
  });
  return server;
};
