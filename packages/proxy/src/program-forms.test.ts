/** Guards the responses, metric names and state keys of the running proxy against unintended changes. */

import { join } from 'node:path';
import { test } from 'node:test';
import {
  freeAddress,
  httpExchange,
  matchMetrics,
  portOf,
  responseText,
  snapshotsFor,
  startProgram,
} from '@switchwheel/types/testing';

const matchSnapshot = snapshotsFor(import.meta.dirname);
const script = join(import.meta.dirname, '..', 'bin', 'proxy.js');

void test('responses, metrics and state keys of an edge without a registry match the snapshots', async () => {
  const [listen, door, admin] = [await freeAddress(), await freeAddress(), await freeAddress()];
  const nodeArguments = [
    '--node',
    'e1',
    '--area',
    'a',
    '--listen',
    listen,
    '--seeds',
    '127.0.0.1:1',
  ];
  const proxyArguments = ['--role', 'edge', '--door', door, '--admin', admin, '--cache', '1'];
  const proxy = await startProgram(
    script,
    { args: [...nodeArguments, ...proxyArguments] },
    '"text":"started"',
  );
  try {
    const responses: string[] = [];
    for (const path of ['/clips/1', '*']) {
      const request = { method: 'GET', path, headers: { host: 'one.example' } };
      responses.push(responseText(request, await httpExchange(portOf(door), request)));
    }
    matchSnapshot('edge-responses', responses.join('\n'));
    const metrics = await httpExchange(portOf(admin), { method: 'GET', path: '/metrics' });
    matchMetrics(matchSnapshot, 'metrics', metrics.body);
    const state = await httpExchange(portOf(admin), { method: 'GET', path: '/state' });
    const view: unknown = JSON.parse(state.body);
    const keys = typeof view === 'object' && view !== null ? Object.keys(view) : [];
    matchSnapshot('edge-state-keys', keys.join('\n'));
  } finally {
    await proxy.stop();
  }
});
