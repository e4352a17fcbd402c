/** Guards the requests and responses of an edge without shields against unintended changes. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { toZoneName, toTimestamp, toServiceName } from '@switchwheel/types';
import {
  type HttpRequest,
  freeAddress,
  httpExchange,
  portOf,
  responseText,
  snapshotsFor,
} from '@switchwheel/types/testing';
import { type NodeAgent, Cache } from '@switchwheel/proxy-core';
import { EdgeRouter, defaultEdgeLimits, defaultHeaderNames } from '@switchwheel/routing';
import { compileDocument, newEdgeAgent } from '@switchwheel/routing/testing';
import { startRecordingOrigin } from '../shield/recording-origin.test-support.js';
import { ClientListener } from './client-listener.js';
import { HttpOriginClient } from './origin-client.js';
import { bodyMemory } from './testing/body-memory.js';

const matchSnapshot = snapshotsFor(import.meta.dirname);
const service = toServiceName('clips');
const now = toTimestamp(50_000);
const document = {
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

/** Returns the state of an edge with the configuration and one origin. */
const edgeState = (origin: string): NodeAgent =>
  newEdgeAgent({
    configuration: compileDocument(document),
    service,
    origins: [{ instance: 'i1', address: origin }],
    slots: 50,
    now,
  });

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

void test('requests to origins, responses and counters of an edge without shields match the snapshots', async () => {
  const origin = await startRecordingOrigin({ etag: '"tag"', 'cache-tag': 'one two' });
  const state = edgeState(origin.address);
  // A fixed time keeps the result independent of the machine's load.
  const fixedTime = (): typeof now => now;
  const router = new EdgeRouter(
    { now: fixedTime, nodeAgent: () => state },
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
  router.updateFleet(state);
  const listener = new ClientListener(router, defaultHeaderNames, {
    isClosing: () => false,
    bodyMemory,
  });
  const limits = state.compiledConfiguration?.header.limits;
  assert.ok(limits !== undefined);
  listener.applyLimits(limits);
  const address = await freeAddress();
  await listener.listen(address);
  try {
    const responses: string[] = [];
    for (const request of requests)
      responses.push(responseText(request, await httpExchange(portOf(address), request)));
    const sent = origin.requests
      .join('\n')
      .replace(/(deadline-ms: )\d+/g, '$1NUMBER')
      .replaceAll(address, 'EDGE');
    const retryAfter = /(retry-after: )[\d.]+/g;
    matchSnapshot('direct-responses', responses.join('\n').replace(retryAfter, '$1NUMBER'));
    matchSnapshot('direct-origin-requests', sent);
    matchSnapshot('direct-counts', [...router.counts.keys()].toSorted().join('\n'));
  } finally {
    listener.stopAccepting();
    listener.closeAllConnections();
    origin.stop();
  }
});
