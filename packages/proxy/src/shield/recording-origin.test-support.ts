/** Test origin that records the requests that it receives. */

import { createServer } from 'node:http';

/** A running test origin; records each request with its headers and responds with a body. */
export interface RecordingOrigin {
  readonly address: string;
  readonly requests: readonly string[];
  readonly stop: () => void;
}

/** Starts a test origin; `headers` are added to each response, along with the id of the request. */
export const startRecordingOrigin = async (
  headers: Readonly<Record<string, string>>,
): Promise<RecordingOrigin> => {
  const requests: string[] = [];
  const server = createServer((request, response) => {
    const lines = Object.entries(request.headers)
      .map(([name, value]) => `   ${name}: ${String(value)}`)
      .toSorted();
    requests.push([`${request.method ?? ''} ${request.url ?? ''}`, ...lines].join('\n'));
    const id = request.headers['switchwheel-id'];
    response.writeHead(200, { ...headers, ...(id === undefined ? {} : { 'switchwheel-id': id }) });
    response.end('body');
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const bound = server.address();
  const port = bound !== null && typeof bound === 'object' ? bound.port : 0;
  return {
    address: `127.0.0.1:${port}`,
    requests,
    stop: () => {
      server.close();
      server.closeAllConnections();
    },
  };
};
