/** HTTP over the loopback interface, for tests that compare responses with snapshots. */

import { request } from 'node:http';
import { createServer } from 'node:net';
import { type Address, toAddress } from '../id/name.js';

/** Request to a server on the loopback interface. */
export interface HttpRequest {
  readonly method: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
}

/** Response to an {@link HttpRequest}. */
export interface HttpResponse {
  readonly status: number;
  /** Header lines in the order received, names in lower case. */
  readonly headerLines: readonly string[];
  readonly body: string;
}

/** Header fields that vary between responses or are set by Node.js, and are left out of snapshots. */
const ignoredHeaders: ReadonlySet<string> = new Set(['date', 'keep-alive', 'transfer-encoding']);

const headerLinesOf = (rawHeaders: readonly string[]): readonly string[] =>
  rawHeaders.flatMap((name, index) =>
    index % 2 === 0 && !ignoredHeaders.has(name.toLowerCase())
      ? [`${name.toLowerCase()}: ${rawHeaders[index + 1] ?? ''}`]
      : [],
  );

/** Sends a request to a port of 127.0.0.1 and resolves with the whole response. */
export const httpExchange = (port: number, httpRequest: HttpRequest): Promise<HttpResponse> =>
  new Promise((resolve, reject) => {
    const { method, path, headers, body } = httpRequest;
    const clientRequest = request(
      { host: '127.0.0.1', port, method, path, agent: false, headers: { ...headers } },
      (response) => {
        const chunks: Buffer[] = [];
        response.on('data', (chunk: Buffer) => chunks.push(chunk));
        response.once('error', reject);
        response.once('end', () =>
          resolve({
            status: response.statusCode ?? 0,
            headerLines: headerLinesOf(response.rawHeaders),
            body: Buffer.concat(chunks).toString('utf8'),
          }),
        );
      },
    );
    clientRequest.once('error', reject);
    clientRequest.end(body);
  });

/** Formats a request line and the response to it for a snapshot. */
export const responseText = (httpRequest: HttpRequest, response: HttpResponse): string =>
  [
    `${httpRequest.method} ${httpRequest.path}${httpRequest.body === undefined ? '' : ` ${httpRequest.body.slice(0, 400)}`}`,
    `-> ${response.status}`,
    ...response.headerLines.toSorted().map((line) => `   ${line}`),
    ...(response.body === '' ? [] : [`   ${response.body.trimEnd()}`]),
  ].join('\n');

/** Returns an address of the loopback interface with a port that is currently free. */
export const freeAddress = (): Promise<Address> =>
  new Promise((resolve) => {
    const server = createServer();
    server.listen(0, '127.0.0.1', () => {
      const bound = server.address();
      const port = bound !== null && typeof bound === 'object' ? bound.port : 0;
      server.close(() => resolve(toAddress(`127.0.0.1:${port}`)));
    });
  });

/** Returns the port of an address. */
export const portOf = (address: string): number =>
  Number(address.slice(address.lastIndexOf(':') + 1));
