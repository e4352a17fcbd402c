/** Guards the metrics and responses of a running registry that has no cluster yet. */

import { test } from 'node:test';
import { toZoneName, toNodeId } from '@switchwheel/types';
import {
  type HttpRequest,
  freeAddress,
  httpExchange,
  matchMetrics,
  jsonShape,
  portOf,
  responseText,
  snapshotsFor,
} from '@switchwheel/types/testing';
import { createRegistryApp } from './http/app.js';
import { startRegistry } from './start-registry.js';

const matchSnapshot = snapshotsFor(import.meta.dirname);

void test('a registry without a cluster has the recorded responses, metrics and view of the cluster', async () => {
  const door = await freeAddress();
  const registry = await startRegistry(
    {
      node: toNodeId('r1'),
      area: toZoneName('a'),
      listen: await freeAddress(),
      seeds: [],
      door,
    },
    { write: () => undefined },
    (port) => createRegistryApp({ ...port, maxConfigurationBytes: 1024 * 1024 }),
  );
  const exchange = (request: HttpRequest): ReturnType<typeof httpExchange> =>
    httpExchange(portOf(door), request);
  try {
    const metrics = await exchange({ method: 'GET', path: '/metrics' });
    matchMetrics(matchSnapshot, 'metrics', metrics.body);
    const fleet = await exchange({ method: 'GET', path: '/v1/fleet' });
    matchSnapshot('fleet-alone', jsonShape(JSON.parse(fleet.body)));
    const origin = { service: 'clips', instance: 'i1', address: '127.0.0.1:9', slots: 4 };
    const requests: readonly HttpRequest[] = [
      { method: 'GET', path: '/ready' },
      { method: 'POST', path: '/v1/origins', body: JSON.stringify(origin) },
      { method: 'POST', path: '/v1/fleet', body: '{"fleet":"f1"}' },
      { method: 'POST', path: '/v1/electorate', body: '{"add":"r4"}' },
    ];
    const texts: string[] = [];
    for (const request of requests) texts.push(responseText(request, await exchange(request)));
    matchSnapshot('http-alone', texts.join('\n'));
  } finally {
    await registry.stop();
  }
});
