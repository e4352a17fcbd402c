/** Stub registry for tests of the command line. */

import { createServer } from 'node:http';

/** HTTP server on the loopback interface with the responses of a registry of a small fleet. */
export interface StubRegistry {
  readonly address: string;
  /** Received requests in order: method, path and body. */
  readonly requests: readonly string[];
  readonly stop: () => void;
}

/** Status and JSON body of a response. */
export interface StubResponse {
  readonly status: number;
  readonly body: object;
}

const description = {
  format: 1,
  classes: [{ name: 'play', share: 1 }],
  services: [{ name: 'clips' }, { name: 'old' }],
  routes: [{ name: 'clip', prefix: '/clip/', service: 'clips', class: 'play' }],
  rollout: { waves: 2 },
};
const primaryStatus = { store: 's1', epoch: 7, stamp: 12, generation: 4 };
const target = { generation: 4, node: 'e1', wave: 0, status: 'failed', text: 'why', since: 1 };

const bodies: ReadonlyMap<string, object> = new Map<string, object>([
  ['GET /v1/description', { ...primaryStatus, description }],
  ['GET /v1/store', { ...primaryStatus, metadata: null, entries: 9, waitlist: 0, peers: [] }],
  ['PUT /v1/description', { kind: 'accepted', generation: 5 }],
  [
    'GET /v1/fleet',
    {
      registry: 'r1',
      fleet: 'fleet.1',
      generation: 4,
      feedAgeMs: 15,
      nodes: [
        {
          node: 'e1',
          role: 'edge',
          area: 'a',
          open: true,
          generation: 5,
          phase: 'running',
          ready: true,
          registry: 'r1',
          ageMs: 30,
        },
        { node: 's1', role: 'store', area: 'b', open: false, registry: 'r1', ageMs: 4000 },
      ],
      holders: [{ duty: 'primary', node: 's1', epoch: 7 }],
      origins: [
        { service: 'clips', release: 'r2', state: 'up' },
        { service: 'clips', release: 'r2', state: 'leaving' },
      ],
    },
  ],
  [
    'GET /v1/rollouts',
    {
      ...primaryStatus,
      rollouts: [
        { generation: 4, status: 'running', wave: 0, waves: 2, troubled: true, targets: [target] },
        {
          generation: 3,
          status: 'done',
          wave: 1,
          waves: 2,
          troubled: false,
          targets: [{ ...target, generation: 3, status: 'done', text: '' }],
        },
      ],
    },
  ],
  [
    'GET /v1/releases',
    {
      ...primaryStatus,
      releases: [
        {
          service: 'clips',
          settled: 'r1',
          target: 'r2',
          phase: 'moving',
          share: 0.5,
          spentMs: 8000,
          spanMs: 16_000,
          text: '',
        },
      ],
    },
  ],
  [
    'GET /v1/verdicts',
    {
      ...primaryStatus,
      verdicts: [{ service: 'clips', release: 'r2', state: 'trial', spent: 40, bad: 1 }],
    },
  ],
  ['POST /v1/releases', { kind: 'accepted', service: 'clips', target: 'r2' }],
  ['POST /v1/purges', { kind: 'accepted', purge: 11, aims: 1 }],
  ['POST /v1/fleet', { kind: 'accepted', stores: ['s1', 's2'], voters: ['r1', 'r2', 'r3'] }],
  [
    'POST /v1/electorate',
    { kind: 'accepted', electorate: { serial: 2, members: [{ node: 'r1' }, { node: 'r4' }] } },
  ],
  ['GET /v1/calls/c9', { kind: 'accepted', generation: 4 }],
]);
const notFound: StubResponse = { status: 404, body: { kind: 'absent', text: 'no such path' } };

/** Starts a stub; `fixedResponse`, if given, is the response to every request. */
export const startStubRegistry = async (fixedResponse?: StubResponse): Promise<StubRegistry> => {
  const requests: string[] = [];
  const server = createServer((request, response) => {
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.once('end', () => {
      const path = request.url ?? '';
      const methodAndPath = `${request.method ?? ''} ${path.split('?')[0] ?? ''}`;
      const requestBody = Buffer.concat(chunks).toString('utf8');
      requests.push(`${request.method ?? ''} ${path} ${requestBody}`.trim());
      const body = bodies.get(methodAndPath);
      const reply = fixedResponse ?? (body === undefined ? notFound : { status: 200, body });
      response.writeHead(reply.status, { 'content-type': 'application/json' });
      response.end(JSON.stringify(reply.body));
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const serverAddress = server.address();
  const port = serverAddress !== null && typeof serverAddress === 'object' ? serverAddress.port : 0;
  return {
    address: `127.0.0.1:${port}`,
    requests,
    stop: () => {
      server.close();
      server.closeAllConnections();
    },
  };
};
