/** Guards the responses of a store's admin HTTP paths and the names of its metrics. */

import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { toZoneName, toNodeId } from '@switchwheel/types';
import {
  freeAddress,
  httpExchange,
  matchMetrics,
  portOf,
  responseText,
  snapshotsFor,
} from '@switchwheel/types/testing';
import { openDataFolder } from './data-folder.js';
import { startStore } from './start-store.js';

const matchSnapshot = snapshotsFor(import.meta.dirname);

void test('a running store serves its admin paths and metrics, unlabelled and labelled, in the recorded form', async () => {
  const folder = mkdtempSync(join(tmpdir(), 'store-'));
  const admin = await freeAddress();
  const store = await startStore(
    {
      node: toNodeId('s1'),
      zone: toZoneName('a'),
      listen: await freeAddress(),
      seeds: [],
      data: folder,
      admin,
      graceMs: 0,
    },
    { write: () => undefined },
    openDataFolder(folder),
  );
  try {
    const texts: string[] = [];
    for (const path of ['/live', '/ready', '/state']) {
      const request = { method: 'GET', path };
      texts.push(responseText(request, await httpExchange(portOf(admin), request)));
    }
    matchSnapshot('admin-responses', texts.join('\n'));
    const metrics = await httpExchange(portOf(admin), { method: 'GET', path: '/metrics' });
    matchMetrics(matchSnapshot, 'metrics', metrics.body);
    matchMetrics(matchSnapshot, 'metrics-labelled', store.metrics());
  } finally {
    await store.stop();
    rmSync(folder, { recursive: true });
  }
});
