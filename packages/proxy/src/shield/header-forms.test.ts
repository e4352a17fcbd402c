/** Guards the headers that a shield sends to origins against unintended changes. */

import { test } from 'node:test';
import { toAddress, toInstanceId, toServiceName } from '@switchwheel/types';
import { snapshotsFor } from '@switchwheel/types/testing';
import { defaultHeaderNames } from '@switchwheel/routing';
import { StreamingOriginClient, checkOriginHealth } from './origin-client.js';
import { startRecordingOrigin } from './recording-origin.test-support.js';

const matchSnapshot = snapshotsFor(import.meta.dirname);
const service = toServiceName('clips');
const instance = toInstanceId('i1');

void test('the default header names match the snapshot', () => {
  const names: readonly unknown[] = Object.values(defaultHeaderNames);
  matchSnapshot('header-names', JSON.stringify(names, null, 2));
});

void test('the requests and health checks that origins receive match the snapshot', async () => {
  const origin = await startRecordingOrigin({ 'switchwheel-instance': instance });
  try {
    for (const method of ['GET', 'POST']) {
      await new Promise<void>((resolve, reject) => {
        new StreamingOriginClient().send(
          'attempt-1',
          {
            service,
            instance,
            address: toAddress(origin.address),
            method,
            target: '/clips/1?a=b',
            fields: [['x-caller', 'kept']],
            body: Buffer.from(method === 'POST' ? 'sent' : ''),
            timeoutMs: 2000,
            isIdempotent: false,
          },
          {
            onHead: () => undefined,
            onChunk: (_, resume) => resume(),
            onEnd: resolve,
            onFailed: ({ text }) => reject(new Error(text)),
          },
        );
      });
    }
    await checkOriginHealth(`http://${origin.address}/health`, service, instance);
    const requests = origin.requests.join('\n').replaceAll(origin.address, 'ORIGIN');
    matchSnapshot('origin-requests', requests);
  } finally {
    origin.stop();
  }
});
