import { test } from 'node:test';
import { toAddress } from '@switchwheel/types';
import { httpExchange, responseText, snapshotsFor } from '@switchwheel/types/testing';
import { adminApp, metricSample, withLabel } from './admin.js';
import { startHttpServer } from './http-server.js';

const matchSnapshot = snapshotsFor(import.meta.dirname);
const readings = () => [
  metricSample('example', 1),
  withLabel(metricSample('example_total', 2.5), 'what', 'a "quoted" value'),
];

const told = async (title: string, app: ReturnType<typeof adminApp>): Promise<string> => {
  const listener = await startHttpServer(app, toAddress('127.0.0.1:0'));
  try {
    const answers: string[] = [title];
    for (const path of ['/live', '/ready', '/metrics', '/state', '/other']) {
      const asked = { method: 'GET', path };
      answers.push(responseText(asked, await httpExchange(listener.port(), asked)));
    }
    const oversized = { method: 'GET', path: '/live', headers: { 'x-long': 'x'.repeat(20_000) } };
    answers.push(responseText(oversized, await httpExchange(listener.port(), oversized)));
    return answers.join('\n');
  } finally {
    listener.stopAccepting();
  }
};

void test('the administration paths answer as before', async () => {
  const full = await told(
    'ready, with a state',
    adminApp(
      () => true,
      readings,
      () => ({ node: 'n1' }),
    ),
  );
  const bare = await told(
    'not ready, without a state',
    adminApp(() => false, readings),
  );
  matchSnapshot('admin-paths', `${full}\n\n${bare}`);
});
