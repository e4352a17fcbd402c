/** Holds the administration paths' responses word for word. */

import { test } from 'node:test';
import { toAddress } from '@switchwheel/types';
import { httpExchange, responseText, snapshotsFor } from '@switchwheel/types/testing';
import { createAdminApp } from './admin.js';
import { startHttpServer } from './http-server.js';
import { metricSample, withLabel } from './metrics.js';

const matchSnapshot = snapshotsFor(import.meta.dirname);
const samples = () => [
  metricSample('example', 1),
  withLabel(metricSample('example_total', 2.5), 'what', 'a "quoted" value'),
];

/** The responses of an app at every path of interest, as text. */
const responsesOf = async (
  title: string,
  app: ReturnType<typeof createAdminApp>,
): Promise<string> => {
  const listener = await startHttpServer(app, toAddress('127.0.0.1:0'));
  try {
    const responses: string[] = [title];
    for (const path of ['/live', '/ready', '/metrics', '/state', '/other']) {
      const request = { method: 'GET', path };
      responses.push(responseText(request, await httpExchange(listener.port(), request)));
    }
    const oversized = { method: 'GET', path: '/live', headers: { 'x-long': 'x'.repeat(20_000) } };
    responses.push(responseText(oversized, await httpExchange(listener.port(), oversized)));
    return responses.join('\n');
  } finally {
    listener.stopAccepting();
  }
};

void test('the administration paths answer as before', async () => {
  const full = await responsesOf(
    'ready, with a state',
    createAdminApp(
      () => true,
      samples,
      () => ({ node: 'n1' }),
    ),
  );
  const bare = await responsesOf(
    'not ready, without a state',
    createAdminApp(() => false, samples),
  );
  matchSnapshot('admin-paths', `${full}\n\n${bare}`);
});
