import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  toAddress,
  toZoneName,
  toGeneration,
  toIncarnation,
  toInstanceId,
  toTimestamp,
  toNodeId,
  toRelease,
  toServiceName,
} from '@switchwheel/types';
import {
  type HttpRequest,
  freeAddress,
  httpExchange,
  portOf,
  responseText,
  snapshotsFor,
} from '@switchwheel/types/testing';
import { buildConfiguration, splitIntoChunks, runToCompletion } from '@switchwheel/configuration';
import { type NodeAgent, Cache, newNodeAgent } from '@switchwheel/proxy-core';
import { EdgeRouter, defaultEdgeLimits, defaultHeaderNames } from '@switchwheel/routing';
import { startRecordingOrigin } from '../shield/recording-origin.test-support.js';
import { ClientListener } from './client-listener.js';
import { HttpOriginClient } from './origin-client.js';

const matchSnapshot = snapshotsFor(import.meta.dirname);
const service = toServiceName('clips');
const now = toTimestamp(50_000);
const description = {
  format: 1,
  classes: [{ name: 'play', share: 1 }],
  services: [{ name: 'clips' }, { name: 'empty' }],
  limits: { bodyBytes: 100 },
  routes: [
    {
      name: 'clip',
      prefix: '/clips/',
      service: 'clips',
      class: 'play',
      cache: { lifetimeMs: 60_000 },
    },
    { name: 'edit', prefix: '/edit/', methods: ['POST'], service: 'clips', class: 'play' },
    { name: 'none', prefix: '/none/', service: 'empty', class: 'play' },
  ],
};

/** The state of an edge that runs the description, with one origin. */
const edgeState = (origin: string): NodeAgent => {
  const bundle = runToCompletion(splitIntoChunks(description));
  assert.ok(bundle.isOk);
  const { hash, chunkHashes, chunks } = bundle.value;
  const texts = chunkHashes.map((one) => chunks.get(one) ?? '');
  const built = runToCompletion(buildConfiguration(texts, toGeneration(1), hash));
  assert.ok(built.isOk);
  const member = {
    node: toNodeId('e1'),
    role: 'edge' as const,
    area: toZoneName('a'),
    address: toAddress('10.0.0.1:1'),
    incarnation: toIncarnation(1),
  };
  const instance = toInstanceId('i1');
  const row = {
    service,
    instance,
    address: toAddress(origin),
    release: toRelease('r1'),
    slots: 50,
    state: 'up' as const,
    lastHeardAt: now,
  };
  const fresh = newNodeAgent(member, [], { seed: 3 });
  const nodeSession = {
    ...fresh.nodeSession,
    registryHeardAt: now,
    origins: new Map([[instance, row]]),
    members: [member],
  };
  return { ...fresh, compiledConfiguration: built.value, purgesCurrentAsOf: now, nodeSession };
};

const id = { 'switchwheel-id': 'q1', 'switchwheel-deadline-ms': '700' };
const requests: readonly HttpRequest[] = [
  { method: 'GET', path: '/clips/1', headers: { ...id, 'x-caller': 'kept' } },
  { method: 'GET', path: '/clips/1', headers: { ...id, range: 'bytes=1-2' } },
  { method: 'GET', path: '/clips/1', headers: { ...id, range: 'bytes=9-' } },
  { method: 'GET', path: '/clips/1', headers: { ...id, 'if-none-match': '"tag"' } },
  { method: 'HEAD', path: '/clips/1', headers: id },
  { method: 'POST', path: '/edit/1', headers: id, body: 'sent' },
  { method: 'POST', path: '/edit/1', headers: id, body: 'x'.repeat(101) },
  { method: 'GET', path: '/edit/1', headers: id },
  { method: 'GET', path: '/other', headers: id },
  { method: 'GET', path: '/other' },
  { method: 'GET', path: '/none/1', headers: id },
];

void test('an edge that sends straight to origins keeps its requests to them and its responses', async () => {
  const origin = await startRecordingOrigin({ etag: '"tag"', 'cache-tag': 'one two' });
  const state = edgeState(origin.address);
  // Time stands still, so that how loaded the machine is changes nothing.
  const clock = (): typeof now => now;
  const line = new EdgeRouter(
    { now: clock, nodeAgent: () => state },
    new Cache(1_000_000),
    new HttpOriginClient(defaultHeaderNames),
    {
      zone: toZoneName('a'),
      headerNames: defaultHeaderNames,
      limits: defaultEdgeLimits,
      maxActiveRequests: 1000,
    },
    { seed: 7 },
  );
  line.updateFleet(state);
  const listener = new ClientListener(line, defaultHeaderNames, { isClosing: () => false });
  const limits = state.compiledConfiguration?.header.limits;
  assert.ok(limits !== undefined);
  listener.applyLimits(limits);
  const address = await freeAddress();
  await listener.listen(address);
  try {
    const texts: string[] = [];
    for (const asked of requests)
      texts.push(responseText(asked, await httpExchange(portOf(address), asked)));
    const sent = origin.requests
      .join('\n')
      .replace(/(deadline-ms: )\d+/g, '$1NUMBER')
      .replaceAll(address, 'EDGE');
    const retryAfter = /(retry-after: )[\d.]+/g;
    matchSnapshot('direct-responses', texts.join('\n').replace(retryAfter, '$1NUMBER'));
    matchSnapshot('direct-origin-requests', sent);
    matchSnapshot('direct-counts', [...line.counts.keys()].toSorted().join('\n'));
  } finally {
    listener.stopAccepting();
    listener.closeAllConnections();
    origin.stop();
  }
});
