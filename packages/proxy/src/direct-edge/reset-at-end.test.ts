/** Guards against accepting a truncated response without a length: Node reports a reset after the last bytes as an orderly end. */

import assert from 'node:assert/strict';
import { type Socket, createServer } from 'node:net';
import { test } from 'node:test';
import { toAddress, toInstanceId, toServiceName } from '@switchwheel/types';
import { defaultHeaderNames } from '@switchwheel/routing';
import { HttpOriginClient } from './origin-client.js';

const id = 't1';
const head = `HTTP/1.1 200 OK\r\n${defaultHeaderNames.requestId}: ${id}\r\n\r\n`;

/** Returns the outcome of a request whose origin ends the connection after the first bytes of the body. */
const outcomeOf = async (
  needsNewConnection: boolean,
  endConnection: (socket: Socket) => void,
): Promise<string> => {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => socket.write(`${head}a part`, () => endConnection(socket)));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const bound = server.address();
  assert.ok(bound !== null && typeof bound === 'object');
  const outcome = await new Promise<string>((resolve) => {
    new HttpOriginClient(defaultHeaderNames).send(
      {
        service: toServiceName('acts'),
        address: toAddress(`127.0.0.1:${bound.port}`),
        instance: toInstanceId('o1'),
        id,
        method: 'GET',
        target: '/',
        fields: [[defaultHeaderNames.requestId, id]],
        body: Buffer.alloc(0),
        timeoutMs: 1000,
        needsNewConnection,
      },
      {
        onResponse: () => resolve('complete'),
        onFailure: () => resolve('failed'),
      },
    );
  });
  server.close();
  return outcome;
};

for (const needsNewConnection of [true, false]) {
  void test(`a response without a length whose connection is reset is a failure, on a ${needsNewConnection ? 'new' : 'keep-alive'} connection`, async () => {
    assert.equal(
      await outcomeOf(needsNewConnection, (socket) => socket.resetAndDestroy()),
      'failed',
    );
  });

  void test(`a response without a length whose connection closes in an orderly way is complete, on a ${needsNewConnection ? 'new' : 'keep-alive'} connection`, async () => {
    assert.equal(await outcomeOf(needsNewConnection, (socket) => socket.end()), 'complete');
  });
}
