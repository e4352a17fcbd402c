/** Guards against accidental changes of the administration endpoints, which the platform and operators use. */

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

/** Formats the responses of an app to requests for known and unknown paths, and to an oversized one. */
const responsesOf = async (
  title: string,
  app: ReturnType<typeof createAdminApp>,
): Promise<string> => {
  const server = await startHttpServer(app, toAddress('127.0.0.1:0'));
  try {
    const responses: string[] = [title];
    for (const path of ['/live', '/ready', '/metrics', '/state', '/other']) {
      const request = { method: 'GET', path };
      responses.push(responseText(request, await httpExchange(server.port(), request)));
    }
    const oversized = { method: 'GET', path: '/live', headers: { 'x-long': 'x'.repeat(20_000) } };
    responses.push(responseText(oversized, await httpExchange(server.port(), oversized)));
    return responses.join('\n');
  } finally {
    server.stopAccepting();
  }
};

void test('the administration endpoints respond as in the snapshot', async () => {
  const withState = await responsesOf(
    'ready, with a state',
    createAdminApp(
      () => true,
      samples,
      () => ({ node: 'n1' }),
    ),
  );
  const withoutState = await responsesOf(
    'not ready, without a state',
    createAdminApp(() => false, samples),
  );
  matchSnapshot('admin-paths', `${withState}\n\n${withoutState}`);
});
