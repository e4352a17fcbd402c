import { test } from 'node:test';
import { toAddress, toInstanceId, toServiceName } from '@switchwheel/types';
import { snapshotsFor } from '@switchwheel/types/testing';
import { plainWords } from '@switchwheel/routing';
import { Origins, probe } from './leg.js';
import { startRecordingOrigin } from './recording-origin.test-support.js';

const matchSnapshot = snapshotsFor(import.meta.dirname);
const service = toServiceName('clips');
const instance = toInstanceId('i1');

void test('the header names that callers and origins use by default stay', () => {
  const names: readonly unknown[] = Object.values(plainWords);
  matchSnapshot('header-names', JSON.stringify(names, null, 2));
});

void test('origins get the headers that they got', async () => {
  const origin = await startRecordingOrigin({ 'switchwheel-instance': instance });
  try {
    for (const method of ['GET', 'POST']) {
      await new Promise<void>((resolve, reject) => {
        new Origins().send(
          'one',
          {
            service,
            instance,
            address: toAddress(origin.address),
            method,
            target: '/clips/1?a=b',
            fields: [['x-caller', 'kept']],
            body: Buffer.from(method === 'POST' ? 'sent' : ''),
            spanMs: 2000,
            repeatable: false,
          },
          {
            head: () => undefined,
            part: (_, more) => more(),
            ended: resolve,
            broke: ({ text }) => reject(new Error(text)),
          },
        );
      });
    }
    await probe(`http://${origin.address}/health`, service, instance);
    const requests = origin.requests.join('\n').replaceAll(origin.address, 'ORIGIN');
    matchSnapshot('origin-requests', requests);
  } finally {
    origin.stop();
  }
});
