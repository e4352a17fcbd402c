/** The proxy as a process keeps its responses, metrics and state. */

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

void test('an edge that no registry answers keeps its responses, metrics and state', async () => {
  const [listen, door, admin] = [await freeAddress(), await freeAddress(), await freeAddress()];
  const place = ['--node', 'e1', '--area', 'a', '--listen', listen, '--seeds', '127.0.0.1:1'];
  const rest = ['--role', 'edge', '--door', door, '--admin', admin, '--cache', '1'];
  const proxy = await startProgram(script, { args: [...place, ...rest] }, '"text":"started"');
  try {
    const answers: string[] = [];
    for (const path of ['/clips/1', '*']) {
      const asked = { method: 'GET', path, headers: { host: 'one.example' } };
      answers.push(responseText(asked, await httpExchange(portOf(door), asked)));
    }
    matchSnapshot('edge-responses', answers.join('\n'));
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
