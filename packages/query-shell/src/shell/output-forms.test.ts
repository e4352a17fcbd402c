/** Guards against unintended changes of the output of tables, and of the HTTP bodies that are read for them. */

import { createServer } from 'node:http';
import { test } from 'node:test';
import { toAddress } from '@switchwheel/types';
import { portOf, schemaLines, snapshotsFor } from '@switchwheel/types/testing';
import { fleetSchema, proxySchema } from '../snapshot/schemas.js';
import { tables } from '../table/tables.js';
import { readQuery, answerQuery } from './answer.js';

const matchSnapshot = snapshotsFor(import.meta.dirname);

const node = {
  area: 'a',
  address: '10.0.0.1:1',
  registry: 'r1',
  open: true,
  ageMs: 30,
  incarnation: 7,
  generation: 4,
  phase: 'applied',
  ready: true,
  health: { healthy: true, text: 'well' },
};
const fleetBody = (adminAddress: string): object => ({
  registry: 'r1',
  fleet: 'f1',
  inTouch: true,
  feedAgeMs: 15,
  epoch: 2,
  generation: 5,
  purges: { top: 3, floor: 1 },
  electorate: { serial: 1, members: [{ node: 'r1' }, { node: 'r2' }] },
  voter: {
    recovering: false,
    grants: [{ duty: 'primary', epoch: 2, node: 's1', leftMs: 900 }],
  },
  nodes: [
    { ...node, node: 'r1', role: 'registry', admin: adminAddress },
    { ...node, node: 'e1', role: 'edge', admin: adminAddress },
    {
      ...node,
      node: 'h1',
      role: 'shield',
      admin: adminAddress,
      failed: { text: 'why' },
      ready: false,
    },
  ],
  desired: [{ node: 'e1', generation: 5 }],
  holders: [{ duty: 'primary', epoch: 2, node: 's1' }],
  origins: [
    {
      service: 'clips',
      instance: 'i1',
      address: '10.0.0.9:1',
      release: 'r1',
      slots: 4,
      state: 'up',
      ageMs: 12,
    },
  ],
});
const proxyState = {
  node: 'h1',
  role: 'edge',
  ready: true,
  generation: 4,
  purged: 3,
  cacheLease: true,
  forwarding: 2,
  keepers: [
    {
      service: 'clips',
      epoch: 2,
      closing: false,
      legs: 1,
      typicalMs: 20,
      waitlist: [{ class: 'play', waiting: 2 }],
      running: [{ class: 'play', running: 3 }],
      shares: [{ class: 'play', share: 0.5 }],
      budget: { traffic10s: 100, extra10s: 5 },
      ceilingTokens: 8,
      origins: [
        {
          instance: 'i1',
          used: 3,
          slots: 4,
          up: true,
          probe: 'good',
          typicalMs: 21,
          passedOverMs: 0,
        },
      ],
      trials: [{ release: 'r2', state: 'trial', used: 1, granted: 9, good: 1, bad: 2 }],
    },
  ],
};
const target = { node: 'e1', status: 'failed', wave: 0, text: 'why' };
const bodies: ReadonlyMap<string, object> = new Map<string, object>([
  ['/state', proxyState],
  [
    '/v1/rollouts',
    {
      rollouts: [
        { generation: 5, status: 'running', wave: 0, waves: 2, troubled: true, targets: [target] },
      ],
    },
  ],
  [
    '/v1/nodes',
    {
      nodes: [
        {
          node: 'e1',
          assigned: { generation: 5 },
          desired: { generation: 5 },
          failed: 'hash',
          reported: { generation: 4, phase: 'failed' },
        },
      ],
    },
  ],
  ['/v1/purges', { purges: [{ seq: 3, aims: [{ by: 'tag', tag: 't' }] }] }],
  [
    '/v1/verdicts',
    { verdicts: [{ service: 'clips', release: 'r2', state: 'trial', spent: 4, bad: 1 }] },
  ],
  [
    '/v1/store',
    {
      store: 's1',
      epoch: 2,
      entries: 9,
      waitlist: 1,
      metadata: { inSyncSet: ['s1'], stores: [{ node: 's1' }, { node: 's2' }] },
    },
  ],
]);

/** Starts a server with the responses of a registry and of the proxies of a small fleet. */
const startStubFleet = async (): Promise<{
  readonly address: string;
  readonly stop: () => void;
}> => {
  const server = createServer((request, response) => {
    const port = request.socket.localPort ?? 0;
    const path = request.url ?? '';
    const body = path === '/v1/fleet' ? fleetBody(`127.0.0.1:${port}`) : bodies.get(path);
    response.writeHead(body === undefined ? 404 : 200, { 'content-type': 'application/json' });
    response.end(JSON.stringify(body ?? {}));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const serverAddress = server.address();
  const port = serverAddress !== null && typeof serverAddress === 'object' ? serverAddress.port : 0;
  return {
    address: `127.0.0.1:${port}`,
    stop: () => {
      server.close();
      server.closeAllConnections();
    },
  };
};

void test('the output of each table, as text and as JSON, matches the snapshot', async () => {
  const fleet = await startStubFleet();
  const outputs: string[] = [];
  try {
    for (const name of tables.keys())
      for (const json of [false, true]) {
        const query = readQuery(name);
        if (query.isErr) throw new Error(query.error);
        const target = { registries: [toAddress(fleet.address)], timeoutMs: 5000, asJson: json };
        const { text } = await answerQuery(query.value, target);
        outputs.push(`$ query-shell ${name}${json ? ' --json' : ''}\n${text}`);
      }
  } finally {
    fleet.stop();
  }
  const text = outputs.join('\n\n').replaceAll(`:${portOf(fleet.address)}`, ':PORT');
  matchSnapshot('output', text);
});

void test('the members that are read from registries and proxies match the snapshot', () => {
  matchSnapshot(
    'read-bodies',
    `${schemaLines(fleetSchema, '/v1/fleet')}\n\n${schemaLines(proxySchema, '/state')}`,
  );
});
