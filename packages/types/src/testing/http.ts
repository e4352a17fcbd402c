/** HTTP over the loopback interface, for tests that hold responses word for word. */

import { request } from 'node:http';
import { createServer } from 'node:net';
import { type Address, toAddress } from '../id/name.js';

/** One request to a listener on the loopback interface. */
export interface HttpRequest {
  readonly method: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
}

/** The response to it. */
export interface HttpResponse {
  readonly status: number;
  /** Header lines in the order and case they came in. */
  readonly headerLines: readonly string[];
  readonly body: string;
}

/** Headers that say nothing of the outer form or change with each response. */
const ignoredHeaders: ReadonlySet<string> = new Set(['date', 'keep-alive', 'transfer-encoding']);

const headerLinesOf = (raw: readonly string[]): readonly string[] =>
  raw.flatMap((name, at) =>
    at % 2 === 0 && !ignoredHeaders.has(name.toLowerCase())
      ? [`${name.toLowerCase()}: ${raw[at + 1] ?? ''}`]
      : [],
  );

/** Sends a request to a port of 127.0.0.1 and reads the whole response. */
export const httpExchange = (port: number, asked: HttpRequest): Promise<HttpResponse> =>
  new Promise((resolve, reject) => {
    const { method, path, headers, body } = asked;
    const sent = request(
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
    sent.once('error', reject);
    sent.end(body);
  });

/** A request line with the response to it, for a snapshot. */
export const responseText = (asked: HttpRequest, response: HttpResponse): string =>
  [
    `${asked.method} ${asked.path}${asked.body === undefined ? '' : ` ${asked.body.slice(0, 400)}`}`,
    `-> ${response.status}`,
    ...response.headerLines.toSorted().map((line) => `   ${line}`),
    ...(response.body === '' ? [] : [`   ${response.body.trimEnd()}`]),
  ].join('\n');

/** An address of the loopback interface at whose port nothing listens now. */
export const freeAddress = (): Promise<Address> =>
  new Promise((resolve) => {
    const server = createServer();
    server.listen(0, '127.0.0.1', () => {
      const bound = server.address();
      const port = bound !== null && typeof bound === 'object' ? bound.port : 0;
      server.close(() => resolve(toAddress(`127.0.0.1:${port}`)));
    });
  });

/** The port of an address. */
export const portOf = (address: string): number =>
  Number(address.slice(address.lastIndexOf(':') + 1));
